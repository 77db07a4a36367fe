package pinewick.system;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import pinewick.model.SocketAddress;

/** A replica of a plain service that executes every request immediately and records its id and time. */
final class CountingReplica implements AutoCloseable {
    static final String REQUEST_ID = "X-Pinewick-Request-Id";

    private static final int OK = 200;
    private static final int NO_BODY = -1;

    private final String instanceId;
    private final HttpServer server =
            HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.3.1"), 0), 0);
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<Run> runs = new CopyOnWriteArrayList<>();

    /** An executed request and the time of its execution, by {@link System#nanoTime}. */
    record Run(String requestId, long atNanos) {}

    CountingReplica(String instanceId) throws IOException {
        this.instanceId = instanceId;
        server.createContext("/", this::run);
        server.createContext("/health", this::respondToHealthCheck);
        server.createContext("/report", exchange -> respond(exchange));
        server.setExecutor(executor);
        server.start();
    }

    private void run(HttpExchange exchange) throws IOException {
        String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        runs.add(new Run(requestId, System.nanoTime()));
        Headers responseHeaders = exchange.getResponseHeaders();
        responseHeaders.set(REQUEST_ID, requestId);
        responseHeaders.set("X-Pinewick-Server-Signature", instanceId + "." + requestId);
        respond(exchange);
    }

    private void respondToHealthCheck(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("X-Pinewick-Instance-Id", instanceId);
        respond(exchange);
    }

    private static void respond(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(OK, NO_BODY);
        }
    }

    /** All executed requests so far, of any tenant. */
    List<Run> runs() {
        return List.copyOf(runs);
    }

    /** The body of a heartbeat of this replica. */
    String heartbeat(String service, long callSequence) {
        SocketAddress address = new SocketAddress(
                server.getAddress().getAddress().getHostAddress(),
                server.getAddress().getPort());
        return """
                {"service":"%s","address":"%s","zone":"zone","version":"v1","slots":200,"state":"ready",\
                "cold_remaining_ms":0,"call_sequence":%d}"""
                .formatted(service, address, callSequence);
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
