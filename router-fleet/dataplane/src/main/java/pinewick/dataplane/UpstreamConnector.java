package pinewick.dataplane;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Opens connections to replicas. */
interface UpstreamConnector {
    /**
     * Opens a connection without blocking.
     *
     * @param timeoutMs connect timeout
     * @param factory creates the connection object once the socket is connected
     * @param onFailure run if the connect fails
     */
    void connect(InetSocketAddress address, int timeoutMs, UpstreamConnectionFactory factory, Runnable onFailure);

    /** Creates the protocol handler of a connected socket. */
    @FunctionalInterface
    interface UpstreamConnectionFactory {
        Connection create(EndPoint endPoint, Executor executor);
    }
}
