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
 * Answers requests as a replica of a language model would, over HTTP: its health and load, prompts that are read for a
 * handle, and streams of events for a request that brings such a handle.
 */
final class FakeReplica implements AutoCloseable {
    private static final int OK = 200;
    private static final int WRONG_REPLICA = 421;
    private static final int NOT_AVAILABLE = 503;
    private static final int NO_BODY = -1;
    private static final int LENGTH_UNKNOWN = 0;
    private static final long PREFILL_MS = 10;
    /** A decode replica reads a prompt between the tokens of others, in small pieces. */
    private static final long PREFILL_AT_DECODE_MS = 80;

    private static final long EVENT_MS = 15;
    private static final String HANDLE_PATH = "/kv-handle/";
    private static final String NOT_EXECUTED = "X-Pinewick-Not-Executed";
    private static final String REQUEST_ID = "X-Pinewick-Request-Id";

    private final String instanceId;
    private final String stage;
    private final KvHandles handles;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(FakeReplica::daemonThread);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mixedUp = new AtomicInteger();
    private final AtomicLong requests = new AtomicLong();
    private volatile long lastRequestNs = Long.MIN_VALUE;

    /**
     * @param stage {@code prefill} or {@code decode}
     * @param handles those of all replicas of the service, as if over the links between them
     */
    FakeReplica(String instanceId, String stage, KvHandles handles) throws IOException {
        this.instanceId = instanceId;
        this.stage = stage;
        this.handles = handles;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in replica");
        thread.setDaemon(true);
        return thread;
    }

    SocketAddress address() {
        return new SocketAddress(
                server.getAddress().getAddress().getHostAddress(),
                server.getAddress().getPort());
    }

    /** How many prompts it has read, or streams it has begun. */
    long requests() {
        return requests.get();
    }

    /** How many requests came with the handle of another one. */
    int mixedUp() {
        return mixedUp.get();
    }

    /** When the last request came that it took, by {@link System#nanoTime}; the least value if none came. */
    long lastRequestNs() {
        return lastRequestNs;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            answer(exchange);
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
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
            answerRequest(exchange);
        }
    }

    private void answerRequest(HttpExchange exchange) throws IOException {
        Headers asked = exchange.getRequestHeaders();
        boolean prefill = "prefill".equals(asked.getFirst("X-Pinewick-Serving-Stage"));
        String expected = asked.getFirst("X-Pinewick-Expected-Instance");
        if ((expected != null && !expected.equals(instanceId)) || prefill != stage.equals("prefill")) {
            exchange.sendResponseHeaders(WRONG_REPLICA, NO_BODY);
            return;
        }
        lastRequestNs = System.nanoTime();
        running.incrementAndGet();
        try {
            String requestId = asked.getFirst(REQUEST_ID);
            exchange.getResponseHeaders().set(REQUEST_ID, requestId);
            exchange.getResponseHeaders().set("X-Pinewick-Server-Signature", instanceId + "." + requestId);
            exchange.getResponseHeaders().set("Versions", "1");
            if (prefill) {
                readPrompt(exchange, requestId);
            } else {
                generate(exchange, requestId, asked.getFirst("Kv-From"));
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private void readPrompt(HttpExchange exchange, String requestId) throws IOException {
        requests.incrementAndGet();
        pause(PREFILL_MS);
        sendJson(
                exchange,
                "{\"prefill_handle\":\"%s\",\"tokens\":%s,\"version\":1}"
                        .formatted(handles.issue(requestId), promptTokens(exchange)));
    }

    private static String promptTokens(HttpExchange exchange) {
        return exchange.getRequestHeaders().getFirst("X-Pinewick-Token-Count").split(",")[0];
    }

    /** @param kvFrom where the prompt was read, as IP:PORT/HANDLE; null if it has to be read here */
    private void generate(HttpExchange exchange, String requestId, String kvFrom) throws IOException {
        if (kvFrom == null) {
            pause(PREFILL_AT_DECODE_MS);
        } else {
            KvHandles.Taken taken = handles.take(kvFrom.substring(kvFrom.lastIndexOf('/') + 1), requestId);
            if (taken == KvHandles.Taken.GONE) {
                exchange.getResponseHeaders().set(NOT_EXECUTED, "handle gone");
                exchange.sendResponseHeaders(NOT_AVAILABLE, NO_BODY);
                return;
            }
            mixedUp.addAndGet(taken == KvHandles.Taken.OF_ANOTHER_REQUEST ? 1 : 0);
        }
        requests.incrementAndGet();
        stream(exchange);
    }

    private static void stream(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(OK, LENGTH_UNKNOWN);
        OutputStream output = exchange.getResponseBody();
        for (int id = 1; id <= EventStream.EVENTS; id++) {
            pause(EVENT_MS);
            output.write(EventStream.event(id).getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private String report() {
        return """
                {"stage":"%s","models":[{"name":"%s","version":1,"adapters":[]}],"busy":false,"call_sequence":0,\
                "waiting":0,"running":%d,"kv_used":0,"kv_total":400000,"prefill_handles":%d}"""
                .formatted(
                        stage, DemoConfiguration.MODEL, running.get(), stage.equals("prefill") ? handles.waiting() : 0);
    }

    private static void sendJson(HttpExchange exchange, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(OK, body.length);
        exchange.getResponseBody().write(body);
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("ended", e);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
