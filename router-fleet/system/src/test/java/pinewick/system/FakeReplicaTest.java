package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FakeReplicaTest {
    private FakeReplica replica;

    @BeforeEach
    void open() throws IOException {
        replica = new FakeReplica("i-1", "decode", InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void close() throws IOException {
        replica.close();
    }

    private HttpCall.Response post(Map<String, String> headers) throws IOException {
        return new HttpCall(replica.address(), "POST", "/x", headers, "body").send();
    }

    @Test
    void reportsItsLoadAndHealth() throws IOException {
        assertTrue(HttpCall.get(replica.address(), "/report").send().body().startsWith("{\"stage\":\"decode\","));
        assertEquals(200, HttpCall.get(replica.address(), "/health").send().status());
    }

    @Test
    void respondsToPlainPrefillAndGenerationRequests() throws IOException {
        assertEquals("plain", post(Map.of()).body());
        assertEquals(
                "{\"prefill_handle\":\"1\",\"tokens\":30,\"version\":1}",
                post(Map.of("X-Pinewick-Serving-Stage", "prefill", "X-Pinewick-Model", "m"))
                        .body());
        assertEquals(
                "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                post(Map.of("X-Pinewick-Model", "m")).body());
    }
}
