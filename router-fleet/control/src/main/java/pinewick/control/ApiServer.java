package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import pinewick.model.SocketAddress;
import pinewick.transport.DaemonThreadFactory;

/** The HTTP server that replicas and operators call. */
final class ApiServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 1;
    private static final int THREAD_IDLE_MS = 60_000;
    private static final int IDLE_TIMEOUT_MS = 30_000;
    private static final int HEADER_BYTES = 8 * 1024;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
    private static final int ACCEPT_QUEUE = 256;
    private static final int BUFFER_STEP_BYTES = 4 * 1024;
    private static final int MAX_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_BUFFERS_PER_SIZE = 16;
    private static final long MAX_POOLED_BYTES = 1024 * 1024;

    private final Server server;
    private final ApiHandler handler;
    private final SocketAddress address;

    /**
     * @param address the address to listen on
     * @param bodyTimeoutMs time within which a client has to send the request body, milliseconds
     */
    ApiServer(SocketAddress address, Map<ApiOperation, ApiEndpoint> endpoints, long bodyTimeoutMs) {
        this.address = address;
        this.handler = new ApiHandler(endpoints, bodyTimeoutMs);
        QueuedThreadPool threads = new QueuedThreadPool(
                MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS, 0, null, null, new DaemonThreadFactory("api"));
        threads.setName("api");
        ArrayByteBufferPool buffers = new ArrayByteBufferPool(
                0, BUFFER_STEP_BYTES, MAX_BUFFER_BYTES, MAX_BUFFERS_PER_SIZE, MAX_POOLED_BYTES, MAX_POOLED_BYTES);
        server = new Server(threads, new ScheduledExecutorScheduler("api-timer", true), buffers);
        server.addConnector(connector());
        server.setHandler(handler);
        server.setStopTimeout(0);
    }

    private ServerConnector connector() {
        HttpConfiguration http = new HttpConfiguration();
        http.setHeaderCacheSize(0); // it takes 95 KB per connection, and thousands of replicas keep one open
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setSendXPoweredBy(false);
        http.setRequestHeaderSize(HEADER_BYTES);
        http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
        ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setReuseAddress(true);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MS);
        return connector;
    }

    /**
     * Starts the server.
     *
     * @throws ControllerException if the address cannot be bound
     */
    void start() throws ControllerException {
        try {
            server.start();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new ControllerException("listen", address.toString(), e);
        }
    }

    /** Rejects new requests with 503 from now on, so that clients call another controller. */
    void rejectNewRequests() {
        handler.rejectNewRequests();
    }

    /** The number of requests without a response. */
    int requestsInFlight() {
        return handler.requestsInFlight();
    }

    /** Waits until every request has a response or the time-out has passed. */
    void awaitRequests(long timeoutMs) {
        handler.awaitRequests(timeoutMs);
    }

    /** Stops the server and closes all connections. */
    void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception; a failure must not prevent the process from ending.
            LOGGER.atWarning().withCause(e).log("closing the API at %s failed", address);
        }
    }
}
