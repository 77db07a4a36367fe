package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;

/** Runs a client against fake routers that return one fixed response each. */
class StreamingClientTest {
    private static final String COMPLETE_STREAM = IntStream.rangeClosed(1, EventStream.EVENTS)
            .mapToObj(EventStream::event)
            .collect(Collectors.joining());

    private final List<HttpServer> routers = new ArrayList<>();
    private final RequestTally tally = new RequestTally();

    /** Must run before the first use of the JDK's HTTP client in this process. */
    @BeforeAll
    static void allowHostHeader() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    @AfterEach
    void stopRouters() {
        routers.forEach(router -> router.stop(0));
    }

    private void startRouter(int status, String body, boolean signed) throws IOException {
        HttpServer router = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        router.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("Retry-After", "0.01");
            if (signed) {
                exchange.getResponseHeaders().set("X-Pinewick-Server-Signature", "s");
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        router.start();
        routers.add(router);
    }

    private void send() throws InterruptedException {
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        List<SocketAddress> addresses = routers.stream()
                .map(router ->
                        new SocketAddress("127.0.0.1", router.getAddress().getPort()))
                .toList();
        new StreamingClient(http, addresses, tally).send("q1", "/chat/1", 0);
    }

    @Test
    void acceptsACompleteSignedStream() throws Exception {
        startRouter(200, COMPLETE_STREAM, true);

        send();

        assertEquals(1, tally.completedCount());
        assertEquals(List.of(), tally.failedRequests());
    }

    @Test
    void retriesARejectionAtTheNextRouter() throws Exception {
        startRouter(503, "", false);
        startRouter(200, COMPLETE_STREAM, true);

        send();

        assertEquals(1, tally.completedCount());
        assertEquals(1, tally.retriedCount());
    }

    @Test
    void countsAnIncompleteStreamAsFailed() throws Exception {
        startRouter(200, EventStream.event(1), true);

        send();

        assertEquals(List.of("q1: incomplete event stream"), tally.failedRequests());
    }

    @Test
    void countsAnUnsignedStreamAsFailed() throws Exception {
        startRouter(200, COMPLETE_STREAM, false);

        send();

        assertEquals(List.of("q1: response without a replica signature"), tally.failedRequests());
    }

    @Test
    void doesNotRetryAnotherErrorStatus() throws Exception {
        startRouter(502, "", false);
        startRouter(200, COMPLETE_STREAM, true);

        send();

        assertEquals(List.of("q1: status 502"), tally.failedRequests());
        assertEquals(0, tally.completedCount());
    }

    @Test
    void countsAConnectionFailureAsFailed() throws Exception {
        startRouter(200, COMPLETE_STREAM, true);
        routers.get(0).stop(0);

        send();

        assertTrue(
                tally.failedRequests().get(0).startsWith("q1: no response from 127.0.0.1:"),
                tally.failedRequests().toString());
    }
}
