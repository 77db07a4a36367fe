package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;

/** The HTTP server on loopback sockets, with endpoints that a test answers by itself. */
class ApiServerTest {
    private static final long BODY_TIMEOUT_MS = 500;
    private static final long PATIENCE_MS = 20_000;

    private final Map<ApiOperation, ApiEndpoint> endpoints = new EnumMap<>(ApiOperation.class);
    private ApiServer server;
    private SocketAddress address;

    @BeforeEach
    void start() throws ControllerException, IOException {
        for (ApiOperation operation : ApiOperation.values()) {
            endpoints.put(operation, (call, answer) -> answer.accept(echo(operation, call)));
        }
        restart();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private void restart() throws ControllerException, IOException {
        if (server != null) {
            server.stop();
        }
        address = new SocketAddress("127.0.0.1", freePort());
        server = new ApiServer(address, endpoints, BODY_TIMEOUT_MS);
        server.start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static ApiResponse echo(ApiOperation operation, ApiRequest call) {
        String text = operation + "|" + call.instanceId() + "|"
                + call.baseVersion().orElse("null") + "|" + call.body().length;
        return ApiResponse.error(200, text);
    }

    @Test
    void requestsReachTheirEndpoints() throws IOException {
        RawHttpClient.Response beat = RawHttpClient.call(address, "POST", "/instances/i-1/heartbeat", "{}");
        assertEquals("{\"error\":\"HEARTBEAT|i-1|null|2\"}", beat.body());
        RawHttpClient.Response leave = RawHttpClient.call(address, "POST", "/instances/i-1/deregister", "");
        assertEquals("{\"error\":\"DEREGISTER|i-1|null|0\"}", leave.body());
        RawHttpClient.Response update =
                RawHttpClient.call(address, "POST", "/config/update", "{}", "X-Pinewick-Base-Version: 7");
        assertEquals("{\"error\":\"UPDATE_CONFIGURATION||7|2\"}", update.body());
        RawHttpClient.Response read = RawHttpClient.call(address, "GET", "/config/read", "");
        assertEquals("{\"error\":\"READ_CONFIGURATION||null|0\"}", read.body());
    }

    @Test
    void headersAreFew() throws IOException {
        RawHttpClient.Response answer = RawHttpClient.call(address, "GET", "/status", "");
        assertEquals("application/json", answer.headers().get("content-type"));
        assertFalse(answer.headers().containsKey("server"));
        assertFalse(answer.headers().containsKey("date"));
    }

    @Test
    void aConnectionServesManyCalls() throws IOException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        caller.call("POST", "/instances/i-1/heartbeat", "{}").status());
            }
        }
    }

    @Test
    void aBodyMayComeInChunks() throws IOException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            caller.send("POST /config/replace HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
            caller.send("3\r\nabc\r\n");
            caller.send("2\r\nde\r\n0\r\n\r\n");
            assertEquals(
                    "{\"error\":\"REPLACE_CONFIGURATION||null|5\"}",
                    caller.receive().body());
        }
    }

    @Test
    void unknownPathsAndMethodsAreRejected() throws IOException {
        assertEquals(404, RawHttpClient.call(address, "GET", "/", "").status());
        assertEquals(
                400,
                RawHttpClient.call(address, "POST", "/instances//heartbeat", "{}")
                        .status(),
                "ambiguous path");
        assertEquals(
                404,
                RawHttpClient.call(address, "POST", "/instances/i/x/heartbeat", "{}")
                        .status());
        assertEquals(
                404,
                RawHttpClient.call(address, "POST", "/instances/heartbeat", "{}")
                        .status());
        assertEquals(
                405, RawHttpClient.call(address, "GET", "/config/update", "").status());
        assertEquals(
                405, RawHttpClient.call(address, "POST", "/config/read", "{}").status());
    }

    @Test
    void aBodyWithTooLargeAContentLengthIsRejectedUnread() throws IOException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            caller.send("POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n");
            assertEquals(413, caller.receive().status());
            assertTrue(caller.closedByPeer());
        }
    }

    @Test
    void aBodyThatGrowsTooLargeIsRejected() throws IOException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            caller.send("POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
            String piece = "x".repeat(0x8000);
            caller.send("8000\r\n" + piece + "\r\n8000\r\n" + piece + "\r\n1\r\nx\r\n");
            assertEquals(413, caller.receive().status());
        }
    }

    @Test
    void aRejectedBodyIsReadSoThatTheResponseArrives() throws IOException {
        RawHttpClient.Response answer =
                RawHttpClient.call(address, "POST", "/config/replace", "x".repeat(8 * 1024 * 1024));
        assertEquals(413, answer.status());
    }

    @Test
    void aBodyOfFourMebibytesIsAccepted() throws IOException {
        String body = "x".repeat(4 * 1024 * 1024);
        RawHttpClient.Response answer = RawHttpClient.call(address, "POST", "/config/replace", body);
        assertEquals("{\"error\":\"REPLACE_CONFIGURATION||null|4194304\"}", answer.body());
    }

    @Test
    void manyLargeBodiesAtOnceDoNotExhaustTheMemory() throws IOException {
        String head = "POST /config/replace HTTP/1.1\r\nHost: c\r\nExpect: 100-continue\r\n"
                + "Content-Length: 5000000\r\n\r\n";
        List<RawHttpClient> slow = List.of(new RawHttpClient(address), new RawHttpClient(address));
        for (RawHttpClient caller : slow) {
            caller.send(head);
            assertEquals(100, caller.receive().status(), "the body is being awaited");
        }
        assertEquals(
                200,
                RawHttpClient.call(address, "POST", "/instances/i-1/heartbeat", "{}")
                        .status());
        assertEquals(
                503,
                RawHttpClient.call(address, "POST", "/config/replace", "x".repeat(1_000_000))
                        .status());
        for (RawHttpClient caller : slow) {
            assertEquals(408, caller.receive().status());
            caller.close();
        }
        assertEquals(
                200,
                RawHttpClient.call(address, "POST", "/config/replace", "x".repeat(1_000_000))
                        .status());
    }

    @Test
    void aSlowCallerTimesOutWhileOthersAreServed() throws IOException {
        try (RawHttpClient slow = new RawHttpClient(address);
                RawHttpClient quick = new RawHttpClient(address)) {
            slow.send("POST /config/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 10\r\n\r\nabc");
            assertEquals(
                    200, quick.call("POST", "/instances/i-1/heartbeat", "{}").status());
            assertEquals(408, slow.receive().status());
            assertTrue(slow.closedByPeer());
            assertEquals(
                    200, quick.call("POST", "/instances/i-1/heartbeat", "{}").status());
        }
        server.awaitRequests(PATIENCE_MS);
        assertEquals(0, server.requestsInFlight());
    }

    @Test
    void aLateResponseFromAnotherThreadIsWritten() throws Exception {
        CompletableFuture<Consumer<ApiResponse>> pending = new CompletableFuture<>();
        endpoints.put(ApiOperation.READ_CONFIGURATION, (call, answer) -> pending.complete(answer));
        restart();
        try (RawHttpClient caller = new RawHttpClient(address)) {
            caller.send("GET /config/read HTTP/1.1\r\nHost: c\r\n\r\n");
            Consumer<ApiResponse> answer = pending.get();
            assertEquals(1, server.requestsInFlight());
            answer.accept(ApiResponse.unavailable("x"));
            answer.accept(ApiResponse.ok());
            assertEquals(503, caller.receive().status());
            assertEquals(200, caller.call("GET", "/status", "").status());
        }
    }

    @Test
    void aRequestThatFailsGetsAResponse() throws Exception {
        endpoints.put(ApiOperation.READ_CONFIGURATION, (call, answer) -> {
            throw new IllegalStateException("a fault that the test makes");
        });
        restart();
        assertEquals(500, RawHttpClient.call(address, "GET", "/config/read", "").status());
        server.awaitRequests(PATIENCE_MS);
        assertEquals(0, server.requestsInFlight());
    }

    @Test
    void aCallerThatLeftDoesNotDisturbOthers() throws Exception {
        CompletableFuture<Consumer<ApiResponse>> pending = new CompletableFuture<>();
        endpoints.put(ApiOperation.READ_CONFIGURATION, (call, answer) -> pending.complete(answer));
        restart();
        Consumer<ApiResponse> answer = leaveBeforeTheAnswer(pending);
        answer.accept(ApiResponse.ok(new byte[100_000]));
        assertEquals(200, RawHttpClient.call(address, "GET", "/status", "").status());
        server.awaitRequests(PATIENCE_MS);
        assertEquals(0, server.requestsInFlight());
    }

    private Consumer<ApiResponse> leaveBeforeTheAnswer(CompletableFuture<Consumer<ApiResponse>> pending)
            throws IOException, InterruptedException, ExecutionException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            caller.send("GET /config/read HTTP/1.1\r\nHost: c\r\n\r\n");
            return pending.get();
        }
    }

    @Test
    void duringShutdownNewRequestsAreRejected() throws IOException {
        server.rejectNewRequests();
        RawHttpClient.Response answer = RawHttpClient.call(address, "POST", "/instances/i-1/heartbeat", "{}");
        assertEquals(503, answer.status());
        assertEquals("close", answer.headers().get("connection"));
    }
}
