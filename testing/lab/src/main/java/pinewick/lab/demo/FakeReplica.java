package pinewick.lab.demo;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import pinewick.model.SocketAddress;

/**
 * Fake language model replica over HTTP: health check, load report, prefill of prompts (returns a KV handle) and event
 * streams for requests, with or without such a handle.
 */
final class FakeReplica implements AutoCloseable {
    private static final int OK = 200;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NO_BODY = -1;
    private static final int CHUNKED_BODY = 0;
    private static final long PREFILL_MS = 10;
    /** Higher than {@link #PREFILL_MS}: decode replicas interleave prefill chunks with the tokens of other requests. */
    private static final long PREFILL_ON_DECODE_REPLICA_MS = 80;

    private static final long EVENT_MS = 15;
    private static final String HANDLE_PATH = "/kv-handle/";
    private static final String NOT_EXECUTED = "X-Pinewick-Not-Executed";
    private static final String REQUEST_ID = "X-Pinewick-Request-Id";

    private final String instanceId;
    private final String stage;
    private final KvHandles handles;
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(FakeReplica::daemonThread);
    private final AtomicInteger activeRequests = new AtomicInteger();
    private final AtomicInteger handleMismatches = new AtomicInteger();
    private final AtomicLong startedRequests = new AtomicLong();
    private volatile long lastRequestNs = Long.MIN_VALUE;

    /**
     * @param stage {@code prefill} or {@code decode}
     * @param handles shared by all replicas of the service; simulates the links between them
     */
    FakeReplica(String instanceId, String stage, KvHandles handles) throws IOException {
        this.instanceId = instanceId;
        this.stage = stage;
        this.handles = handles;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::serve);
        server.setExecutor(executor);
        server.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "fake replica");
        thread.setDaemon(true);
        return thread;
    }

    SocketAddress address() {
        return new SocketAddress(
                server.getAddress().getAddress().getHostAddress(),
                server.getAddress().getPort());
    }

    /** Number of prompts prefilled or streams started. */
    long startedRequests() {
        return startedRequests.get();
    }

    /** Number of requests that used the KV handle of another request. */
    int handleMismatches() {
        return handleMismatches.get();
    }

    /** Arrival time of the last accepted request, {@link System#nanoTime}; {@link Long#MIN_VALUE} if none arrived. */
    long lastRequestNs() {
        return lastRequestNs;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            respond(exchange);
        }
    }

    private void respond(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/health")) {
            exchange.getResponseHeaders().set("X-Pinewick-Instance-Id", instanceId);
            exchange.sendResponseHeaders(OK, NO_BODY);
        } else if (path.equals("/report")) {
            sendJson(exchange, report());
        } else if (path.startsWith(HANDLE_PATH)) {
            handles.free(path.substring(HANDLE_PATH.length()));
            exchange.sendResponseHeaders(OK, NO_BODY);
        } else {
            handleRequest(exchange);
        }
    }

    private void handleRequest(HttpExchange exchange) throws IOException {
        Headers requestHeaders = exchange.getRequestHeaders();
        boolean isPrefill = "prefill".equals(requestHeaders.getFirst("X-Pinewick-Serving-Stage"));
        String expected = requestHeaders.getFirst("X-Pinewick-Expected-Instance");
        if ((expected != null && !expected.equals(instanceId)) || isPrefill != stage.equals("prefill")) {
            exchange.sendResponseHeaders(MISDIRECTED_REQUEST, NO_BODY);
            return;
        }
        lastRequestNs = System.nanoTime();
        activeRequests.incrementAndGet();
        try {
            String requestId = requestHeaders.getFirst(REQUEST_ID);
            exchange.getResponseHeaders().set(REQUEST_ID, requestId);
            exchange.getResponseHeaders().set("X-Pinewick-Server-Signature", instanceId + "." + requestId);
            exchange.getResponseHeaders().set("Versions", "1");
            if (isPrefill) {
                prefillPrompt(exchange, requestId);
            } else {
                decode(exchange, requestId, requestHeaders.getFirst("Kv-From"));
            }
        } finally {
            activeRequests.decrementAndGet();
        }
    }

    private void prefillPrompt(HttpExchange exchange, String requestId) throws IOException {
        startedRequests.incrementAndGet();
        sleep(PREFILL_MS);
        sendJson(
                exchange,
                "{\"prefill_handle\":\"%s\",\"tokens\":%s,\"version\":1}"
                        .formatted(handles.issue(requestId), promptTokens(exchange)));
    }

    private static String promptTokens(HttpExchange exchange) {
        return exchange.getRequestHeaders().getFirst("X-Pinewick-Token-Count").split(",")[0];
    }

    /** @param kvFrom location of the prefilled KV cache, as IP:PORT/HANDLE; null if this replica must prefill */
    private void decode(HttpExchange exchange, String requestId, String kvFrom) throws IOException {
        if (kvFrom == null) {
            sleep(PREFILL_ON_DECODE_REPLICA_MS);
        } else {
            KvHandles.TakeResult takeResult = handles.take(kvFrom.substring(kvFrom.lastIndexOf('/') + 1), requestId);
            if (takeResult == KvHandles.TakeResult.NOT_FOUND) {
                exchange.getResponseHeaders().set(NOT_EXECUTED, "handle gone");
                exchange.sendResponseHeaders(SERVICE_UNAVAILABLE, NO_BODY);
                return;
            }
            handleMismatches.addAndGet(takeResult == KvHandles.TakeResult.OTHER_REQUEST ? 1 : 0);
        }
        startedRequests.incrementAndGet();
        stream(exchange);
    }

    private static void stream(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(OK, CHUNKED_BODY);
        OutputStream output = exchange.getResponseBody();
        for (int id = 1; id <= EventStream.EVENTS; id++) {
            sleep(EVENT_MS);
            output.write(EventStream.event(id).getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private String report() {
        return """
                {"stage":"%s","models":[{"name":"%s","version":1,"adapters":[]}],"busy":false,"call_sequence":0,\
                "waiting":0,"running":%d,"kv_used":0,"kv_total":400000,"prefill_handles":%d}"""
                .formatted(
                        stage,
                        DemoConfiguration.MODEL,
                        activeRequests.get(),
                        stage.equals("prefill") ? handles.pendingCount() : 0);
    }

    private static void sendJson(HttpExchange exchange, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(OK, body.length);
        exchange.getResponseBody().write(body);
    }

    private static void sleep(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("replica interrupted while it processed a request", e);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
