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

/** A pair of stand-in replicas, called as a router calls replicas. */
class FakeReplicaTest {
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final KvHandles handles = new KvHandles();
    private FakeReplica prefill;
    private FakeReplica decode;

    @BeforeEach
    void open() throws Exception {
        prefill = new FakeReplica("i-1", "prefill", handles);
        decode = new FakeReplica("i-2", "decode", handles);
    }

    @AfterEach
    void close() {
        prefill.close();
        decode.close();
    }

    private HttpResponse<String> get(FakeReplica replica, String path) throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + replica.address() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> ask(FakeReplica replica, String requestId, Map<String, String> more) throws Exception {
        List<String> headers =
                new ArrayList<>(List.of("X-Pinewick-Request-Id", requestId, "X-Pinewick-Token-Count", "1200,8"));
        more.forEach((name, value) -> headers.addAll(List.of(name, value)));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + replica.address() + "/chat/1"))
                .headers(headers.toArray(String[]::new))
                .POST(HttpRequest.BodyPublishers.ofString("a prompt"))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private String readPrompt(String requestId) throws Exception {
        HttpResponse<String> answer = ask(prefill, requestId, Map.of("X-Pinewick-Serving-Stage", "prefill"));
        assertEquals(200, answer.statusCode());
        JsonObject body = JsonParser.parseString(answer.body()).getAsJsonObject();
        assertEquals(1_200, body.get("tokens").getAsInt());
        return body.get("prefill_handle").getAsString();
    }

    private Map<String, String> from(String handle) {
        return Map.of("Kv-From", prefill.address() + "/" + handle);
    }

    @Test
    void tellsItsHealthAndItsLoad() throws Exception {
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
    void aPromptIsReadByOneAndTheStreamComesFromTheOther() throws Exception {
        HttpResponse<String> answer = ask(decode, "q1", from(readPrompt("q1")));

        assertEquals(200, answer.statusCode());
        assertTrue(EventStream.isWhole(answer.body()));
        assertEquals("q1", answer.headers().firstValue("X-Pinewick-Request-Id").orElse(""));
        assertEquals(
                "i-2.q1",
                answer.headers().firstValue("X-Pinewick-Server-Signature").orElse(""));
        assertEquals(1, decode.requests());
        assertEquals(0, decode.mixedUp());
        assertEquals(0, handles.waiting());
    }

    @Test
    void aHandleThatIsGoneIsRefusedAndOneOfAnotherRequestIsCounted() throws Exception {
        String handle = readPrompt("q1");
        assertEquals(200, ask(decode, "q1", from(handle)).statusCode());

        HttpResponse<String> again = ask(decode, "q1", from(handle));
        assertEquals(503, again.statusCode());
        assertTrue(again.headers().firstValue("X-Pinewick-Not-Executed").isPresent());

        ask(decode, "q2", from(readPrompt("q3")));
        assertEquals(1, decode.mixedUp());
    }

    @Test
    void theWrongReplicaOrTheWrongStageRunsNothing() throws Exception {
        assertEquals(
                421,
                ask(decode, "q1", Map.of("X-Pinewick-Serving-Stage", "prefill")).statusCode());
        assertEquals(421, ask(prefill, "q1", Map.of()).statusCode());
        assertEquals(
                421,
                ask(decode, "q1", Map.of("X-Pinewick-Expected-Instance", "i-3")).statusCode());
        assertEquals(0, prefill.requests() + decode.requests());
    }
}
