package pinewick.dataplane;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import pinewick.model.RequestLimits;
import pinewick.model.SocketAddress;
import pinewick.transport.DaemonThreadFactory;

/**
 * The HTTP server of a router, based on Jetty. It serves clients at one address and the platform's readiness checks at
 * another.
 */
final class HttpFrontend {
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 2;
    private static final int THREAD_IDLE_MS = 60_000;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final int RESPONSE_HEADER_BYTES = 8 * 1024;
    /**
     * Connections parse request heads of at least this length, bytes: the limit in force may change while they are
     * open.
     */
    private static final int PARSED_HEADER_BYTES = 64 * 1024;

    private static final int MIN_CLIENT_CONNECTIONS = 100;
    private static final int MAX_CLIENT_CONNECTIONS = 3_000;
    private static final int ACCEPT_QUEUE = 1024;

    private final DataPlane dataPlane;
    private final BooleanSupplier ready;
    private final Server server;
    private final RouterConnector frontend;
    private final ServerConnector readiness;
    private final HttpConfiguration configuration = new HttpConfiguration();

    /**
     * @param maxClientConnections further connections are closed before anything is read, so that their clients use
     *     another router
     */
    HttpFrontend(
            DataPlane dataPlane,
            BooleanSupplier ready,
            Scheduler scheduler,
            SocketAddress frontendAddress,
            SocketAddress readinessAddress,
            int maxClientConnections) {
        this.dataPlane = dataPlane;
        this.ready = ready;
        server = new Server(threadPool(), scheduler, new ArrayByteBufferPool());
        server.setStopTimeout(0);
        configure();
        frontend = new RouterConnector(
                server,
                scheduler,
                new ClientConnection.Factory(
                        configuration, () -> dataPlane.routingTable().limits().headerTimeoutMs()),
                Math.max(MIN_CLIENT_CONNECTIONS, Math.min(MAX_CLIENT_CONNECTIONS, maxClientConnections)));
        listenAt(frontend, frontendAddress);
        readiness = new ServerConnector(server, null, scheduler, null, 0, 1, new HttpConnectionFactory(configuration));
        listenAt(readiness, readinessAddress);
        server.setHandler(new FrontendHandler());
        setLimits(RequestLimits.DEFAULT);
    }

    private static QueuedThreadPool threadPool() {
        QueuedThreadPool threads = new QueuedThreadPool(
                MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS, 0, null, null, new DaemonThreadFactory("http"));
        threads.setName("http");
        return threads;
    }

    private void configure() {
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        configuration.setResponseHeaderSize(RESPONSE_HEADER_BYTES);
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setHeaderCacheSize(0);
    }

    private void listenAt(ServerConnector connector, SocketAddress address) {
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
    }

    /** Sets the limits in force. The length of a request head is checked when the head is complete. */
    void setLimits(RequestLimits limits) {
        configuration.setRequestHeaderSize(Math.max(PARSED_HEADER_BYTES, limits.maxHeaderBytes()));
        frontend.setIdleTimeout(limits.idleTimeoutMs());
        frontend.getConnectedEndPoints().forEach(endPoint -> endPoint.setIdleTimeout(limits.idleTimeoutMs()));
    }

    void start() throws RouterException {
        try {
            server.start();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new RouterException("listening to clients", frontend.getHost() + ":" + frontend.getPort(), e);
        }
    }

    /** Stops accepting connections and closes idle ones; completes when all are closed. */
    CompletableFuture<Void> closeIdle() {
        return frontend.shutdown();
    }

    void stop() throws RouterException {
        try {
            server.stop();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new RouterException("stopping the HTTP server", frontend.getHost() + ":" + frontend.getPort(), e);
        }
    }

    UpstreamConnector upstream() {
        return frontend;
    }

    /** Number of open client connections. */
    long clientConnections() {
        return frontend.getConnectedEndPoints().stream()
                .filter(endPoint -> endPoint.isOpen() && endPoint.getConnection() instanceof ClientConnection)
                .count();
    }

    int frontendPort() {
        return frontend.getLocalPort();
    }

    int readinessPort() {
        return readiness.getLocalPort();
    }

    private final class FrontendHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Connector connector = request.getConnectionMetaData().getConnector();
            if (connector == readiness) {
                response.setStatus(ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
                response.write(true, null, callback);
            } else if (acceptsRequestsFrom(request.getConnectionMetaData().getConnection())) {
                new ClientIntake(dataPlane, request, response, callback).start();
            } else {
                request.getConnectionMetaData().getConnection().getEndPoint().close();
                callback.failed(new EofException("request received after the last one accepted on its connection"));
            }
            return true;
        }

        private static boolean acceptsRequestsFrom(Connection connection) {
            if (connection instanceof ClientConnection client) {
                client.onRequestHead();
                return client.acceptsRequests();
            }
            return true;
        }
    }
}
