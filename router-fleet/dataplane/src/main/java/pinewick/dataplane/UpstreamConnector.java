package pinewick.dataplane;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Opens connections. */
interface UpstreamConnector {
    /**
     * Opens a connection without blocking.
     *
     * @param timeoutMs how long it may take
     * @param factory makes the connection once the address has accepted
     * @param onFailure run if no connection comes about
     */
    void connect(InetSocketAddress address, int timeoutMs, UpstreamConnectionFactory factory, Runnable onFailure);

    /** Makes the protocol's side of an open connection. */
    @FunctionalInterface
    interface UpstreamConnectionFactory {
        Connection create(EndPoint endPoint, Executor executor);
    }
}
