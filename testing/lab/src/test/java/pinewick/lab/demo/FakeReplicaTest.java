package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls a prefill and a decode fake replica as a router does. */
class FakeReplicaTest {
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final KvHandles handles = new KvHandles();
    private FakeReplica prefill;
    private FakeReplica decode;

    @BeforeEach
    void startReplicas() throws Exception {
        prefill = new FakeReplica("i-1", "prefill", handles);
        decode = new FakeReplica("i-2", "decode", handles);
    }

    @AfterEach
    void stopReplicas() {
        prefill.close();
        decode.close();
    }

    private HttpResponse<String> get(FakeReplica replica, String path) throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + replica.address() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> send(FakeReplica replica, String requestId, Map<String, String> extraHeaders)
            throws Exception {
        List<String> headers =
                new ArrayList<>(List.of("X-Pinewick-Request-Id", requestId, "X-Pinewick-Token-Count", "1200,8"));
        extraHeaders.forEach((name, value) -> headers.addAll(List.of(name, value)));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + replica.address() + "/chat/1"))
                .headers(headers.toArray(String[]::new))
                .POST(HttpRequest.BodyPublishers.ofString("a prompt"))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private String prefillPrompt(String requestId) throws Exception {
        HttpResponse<String> response = send(prefill, requestId, Map.of("X-Pinewick-Serving-Stage", "prefill"));
        assertEquals(200, response.statusCode());
        JsonObject body = JsonParser.parseString(response.body()).getAsJsonObject();
        assertEquals(1_200, body.get("tokens").getAsInt());
        return body.get("prefill_handle").getAsString();
    }

    private Map<String, String> kvFrom(String handle) {
        return Map.of("Kv-From", prefill.address() + "/" + handle);
    }

    @Test
    void reportsHealthAndLoad() throws Exception {
        assertEquals(
                "i-1",
                get(prefill, "/health")
                        .headers()
                        .firstValue("X-Pinewick-Instance-Id")
                        .orElse(""));
        JsonObject report =
                JsonParser.parseString(get(decode, "/report").body()).getAsJsonObject();
        assertEquals("decode", report.get("stage").getAsString());
    }

    @Test
    void prefillsOnOneReplicaAndStreamsFromTheOther() throws Exception {
        HttpResponse<String> response = send(decode, "q1", kvFrom(prefillPrompt("q1")));

        assertEquals(200, response.statusCode());
        assertTrue(EventStream.isComplete(response.body()));
        assertEquals(
                "q1", response.headers().firstValue("X-Pinewick-Request-Id").orElse(""));
        assertEquals(
                "i-2.q1",
                response.headers().firstValue("X-Pinewick-Server-Signature").orElse(""));
        assertEquals(1, decode.startedRequests());
        assertEquals(0, decode.handleMismatches());
        assertEquals(0, handles.pendingCount());
    }

    @Test
    void rejectsATakenHandleAndCountsAHandleOfAnotherRequest() throws Exception {
        String handle = prefillPrompt("q1");
        assertEquals(200, send(decode, "q1", kvFrom(handle)).statusCode());

        HttpResponse<String> retry = send(decode, "q1", kvFrom(handle));
        assertEquals(503, retry.statusCode());
        assertTrue(retry.headers().firstValue("X-Pinewick-Not-Executed").isPresent());

        send(decode, "q2", kvFrom(prefillPrompt("q3")));
        assertEquals(1, decode.handleMismatches());
    }

    @Test
    void rejectsRequestsForAnotherInstanceOrStage() throws Exception {
        assertEquals(
                421,
                send(decode, "q1", Map.of("X-Pinewick-Serving-Stage", "prefill"))
                        .statusCode());
        assertEquals(421, send(prefill, "q1", Map.of()).statusCode());
        assertEquals(
                421,
                send(decode, "q1", Map.of("X-Pinewick-Expected-Instance", "i-3"))
                        .statusCode());
        assertEquals(0, prefill.startedRequests() + decode.startedRequests());
    }
}
