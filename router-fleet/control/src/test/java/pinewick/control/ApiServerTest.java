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

/** The HTTP server on loopback sockets, with endpoints provided by the test. */
class ApiServerTest {
    private static final long BODY_TIMEOUT_MS = 500;
    private static final long TIMEOUT_MS = 20_000;

    private final Map<ApiOperation, ApiEndpoint> endpoints = new EnumMap<>(ApiOperation.class);
    private ApiServer server;
    private SocketAddress address;

    @BeforeEach
    void start() throws ControllerException, IOException {
        for (ApiOperation operation : ApiOperation.values()) {
            endpoints.put(operation, (request, callback) -> callback.accept(echo(operation, request)));
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

    private static ApiResponse echo(ApiOperation operation, ApiRequest request) {
        String text = operation + "|" + request.instanceId() + "|"
                + request.baseVersion().orElse("null") + "|" + request.body().length;
        return ApiResponse.error(200, text);
    }

    @Test
    void routesRequestsToTheirEndpoints() throws IOException {
        RawHttpClient.Response heartbeat = RawHttpClient.request(address, "POST", "/instances/i-1/heartbeat", "{}");
        assertEquals("{\"error\":\"HEARTBEAT|i-1|null|2\"}", heartbeat.body());
        RawHttpClient.Response deregistration = RawHttpClient.request(address, "POST", "/instances/i-1/deregister", "");
        assertEquals("{\"error\":\"DEREGISTER|i-1|null|0\"}", deregistration.body());
        RawHttpClient.Response update =
                RawHttpClient.request(address, "POST", "/config/update", "{}", "X-Pinewick-Base-Version: 7");
        assertEquals("{\"error\":\"UPDATE_CONFIGURATION||7|2\"}", update.body());
        RawHttpClient.Response read = RawHttpClient.request(address, "GET", "/config/read", "");
        assertEquals("{\"error\":\"READ_CONFIGURATION||null|0\"}", read.body());
    }

    @Test
    void sendsNoServerOrDateHeader() throws IOException {
        RawHttpClient.Response response = RawHttpClient.request(address, "GET", "/status", "");
        assertEquals("application/json", response.headers().get("content-type"));
        assertFalse(response.headers().containsKey("server"));
        assertFalse(response.headers().containsKey("date"));
    }

    @Test
    void servesSeveralRequestsOnOneConnection() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        client.request("POST", "/instances/i-1/heartbeat", "{}").status());
            }
        }
    }

    @Test
    void acceptsAChunkedBody() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /config/replace HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
            client.send("3\r\nabc\r\n");
            client.send("2\r\nde\r\n0\r\n\r\n");
            assertEquals(
                    "{\"error\":\"REPLACE_CONFIGURATION||null|5\"}",
                    client.receive().body());
        }
    }

    @Test
    void rejectsUnknownPathsAndMethods() throws IOException {
        assertEquals(404, RawHttpClient.request(address, "GET", "/", "").status());
        assertEquals(
                400,
                RawHttpClient.request(address, "POST", "/instances//heartbeat", "{}")
                        .status(),
                "ambiguous path");
        assertEquals(
                404,
                RawHttpClient.request(address, "POST", "/instances/i/x/heartbeat", "{}")
                        .status());
        assertEquals(
                404,
                RawHttpClient.request(address, "POST", "/instances/heartbeat", "{}")
                        .status());
        assertEquals(
                405, RawHttpClient.request(address, "GET", "/config/update", "").status());
        assertEquals(
                405,
                RawHttpClient.request(address, "POST", "/config/read", "{}").status());
    }

    @Test
    void rejectsATooLargeContentLengthWithoutReadingTheBody() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n");
            assertEquals(413, client.receive().status());
            assertTrue(client.closedByPeer());
        }
    }

    @Test
    void rejectsAChunkedBodyThatExceedsTheLimit() throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = "x".repeat(0x8000);
            client.send("8000\r\n" + chunk + "\r\n8000\r\n" + chunk + "\r\n1\r\nx\r\n");
            assertEquals(413, client.receive().status());
        }
    }

    @Test
    void readsARejectedBodySoThatTheResponseArrives() throws IOException {
        RawHttpClient.Response response =
                RawHttpClient.request(address, "POST", "/config/replace", "x".repeat(8 * 1024 * 1024));
        assertEquals(413, response.status());
    }

    @Test
    void acceptsABodyOfFourMebibytes() throws IOException {
        String body = "x".repeat(4 * 1024 * 1024);
        RawHttpClient.Response response = RawHttpClient.request(address, "POST", "/config/replace", body);
        assertEquals("{\"error\":\"REPLACE_CONFIGURATION||null|4194304\"}", response.body());
    }

    @Test
    void limitsTheMemoryForConcurrentLargeBodies() throws IOException {
        String requestHead = "POST /config/replace HTTP/1.1\r\nHost: c\r\nExpect: 100-continue\r\n"
                + "Content-Length: 5000000\r\n\r\n";
        List<RawHttpClient> slowClients = List.of(new RawHttpClient(address), new RawHttpClient(address));
        for (RawHttpClient client : slowClients) {
            client.send(requestHead);
            assertEquals(100, client.receive().status(), "the server waits for the body");
        }
        assertEquals(
                200,
                RawHttpClient.request(address, "POST", "/instances/i-1/heartbeat", "{}")
                        .status());
        assertEquals(
                503,
                RawHttpClient.request(address, "POST", "/config/replace", "x".repeat(1_000_000))
                        .status());
        for (RawHttpClient client : slowClients) {
            assertEquals(408, client.receive().status());
            client.close();
        }
        assertEquals(
                200,
                RawHttpClient.request(address, "POST", "/config/replace", "x".repeat(1_000_000))
                        .status());
    }

    @Test
    void timesOutASlowClientWhileServingOthers() throws IOException {
        try (RawHttpClient slowClient = new RawHttpClient(address);
                RawHttpClient fastClient = new RawHttpClient(address)) {
            slowClient.send("POST /config/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 10\r\n\r\nabc");
            assertEquals(
                    200,
                    fastClient.request("POST", "/instances/i-1/heartbeat", "{}").status());
            assertEquals(408, slowClient.receive().status());
            assertTrue(slowClient.closedByPeer());
            assertEquals(
                    200,
                    fastClient.request("POST", "/instances/i-1/heartbeat", "{}").status());
        }
        server.awaitRequests(TIMEOUT_MS);
        assertEquals(0, server.requestsInFlight());
    }

    @Test
    void writesALateResponseFromAnotherThread() throws Exception {
        CompletableFuture<Consumer<ApiResponse>> pendingCallback = new CompletableFuture<>();
        endpoints.put(ApiOperation.READ_CONFIGURATION, (request, callback) -> pendingCallback.complete(callback));
        restart();
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /config/read HTTP/1.1\r\nHost: c\r\n\r\n");
            Consumer<ApiResponse> callback = pendingCallback.get();
            assertEquals(1, server.requestsInFlight());
            callback.accept(ApiResponse.unavailable("x"));
            callback.accept(ApiResponse.ok());
            assertEquals(503, client.receive().status());
            assertEquals(200, client.request("GET", "/status", "").status());
        }
    }

    @Test
    void respondsToARequestWhoseEndpointFails() throws Exception {
        endpoints.put(ApiOperation.READ_CONFIGURATION, (request, callback) -> {
            throw new IllegalStateException("simulated fault");
        });
        restart();
        assertEquals(
                500, RawHttpClient.request(address, "GET", "/config/read", "").status());
        server.awaitRequests(TIMEOUT_MS);
        assertEquals(0, server.requestsInFlight());
    }

    @Test
    void servesOthersAfterAClientDisconnected() throws Exception {
        CompletableFuture<Consumer<ApiResponse>> pendingCallback = new CompletableFuture<>();
        endpoints.put(ApiOperation.READ_CONFIGURATION, (request, callback) -> pendingCallback.complete(callback));
        restart();
        Consumer<ApiResponse> callback = disconnectBeforeResponse(pendingCallback);
        callback.accept(ApiResponse.ok(new byte[100_000]));
        assertEquals(200, RawHttpClient.request(address, "GET", "/status", "").status());
        server.awaitRequests(TIMEOUT_MS);
        assertEquals(0, server.requestsInFlight());
    }

    private Consumer<ApiResponse> disconnectBeforeResponse(CompletableFuture<Consumer<ApiResponse>> pendingCallback)
            throws IOException, InterruptedException, ExecutionException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("GET /config/read HTTP/1.1\r\nHost: c\r\n\r\n");
            return pendingCallback.get();
        }
    }

    @Test
    void rejectsNewRequestsDuringShutdown() throws IOException {
        server.rejectNewRequests();
        RawHttpClient.Response response = RawHttpClient.request(address, "POST", "/instances/i-1/heartbeat", "{}");
        assertEquals(503, response.status());
        assertEquals("close", response.headers().get("connection"));
    }
}
