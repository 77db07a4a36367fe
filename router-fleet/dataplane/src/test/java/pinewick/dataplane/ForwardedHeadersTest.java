package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.Stage;

/** Every call forwards the client's prompt headers unchanged. */
class ForwardedHeadersTest {
    private static final List<String> UNUSUAL_FIELDS = List.of(
            "X-Pinewick-Model: m  one\t\"two\";q=0.5, m",
            "x-pinewick-model: second",
            "X-Pinewick-Token-Count: 1460 ,\t80",
            "X-PINEWICK-TOKEN-COUNT: 007,1",
            "X-Pinewick-Prompt-Prefix: 5c1e07a2:800,,91bd3f06:410 , e4402b7d:250,",
            "X-Pinewick-Prompt-Prefix: 5C1E07A2:800",
            "X-Pinewick-Model:");

    private TestRouter router;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.streamRoute(true, 3), TestRouter.plainRoute("idempotent", 3));
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private static List<String> promptFields(HttpText.Message forwarded) {
        return forwarded.fields().stream()
                .filter(ForwardedHeadersTest::isPromptField)
                .toList();
    }

    private static boolean isPromptField(String field) {
        String name = field.substring(0, field.indexOf(':')).toLowerCase(Locale.ROOT);
        return name.equals("x-pinewick-model")
                || name.equals("x-pinewick-token-count")
                || name.equals("x-pinewick-prompt-prefix");
    }

    private static void assertPromptFieldsUnchanged(HttpText.Message forwarded) {
        List<String> expected =
                UNUSUAL_FIELDS.stream().map(String::stripTrailing).toList();
        assertEquals(
                expected,
                promptFields(forwarded).stream().map(String::stripTrailing).toList());
    }

    @Test
    void aPlainRequestAndItsRetryCarryTheClientsFields() throws Exception {
        ScriptedReplica first = router.replica("i-1", "plain", Stage.NONE);
        ScriptedReplica second = router.replica("i-2", "plain", Stage.NONE);
        router.forceChoices("i-1", "i-2");
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body", UNUSUAL_FIELDS.toArray(String[]::new)));
        RawSocket upstream = first.accept();
        assertPromptFieldsUnchanged(upstream.read());
        upstream.reset();
        RawSocket next = second.accept();
        assertPromptFieldsUnchanged(next.read());
        next.send(ScriptedReplica.response(200, "q1", "served"));
        assertEquals("served", client.read().body());
    }

    @Test
    void thePrefillCallAndTheDecodeCallCarryTheClientsFields() throws Exception {
        ScriptedReplica prefill = router.replica("p-1", "lm", Stage.PREFILL);
        ScriptedReplica decode = router.replica("d-1", "lm", Stage.DECODE);
        router.forceChoices("p-1+d-1");
        client.send(TestRouter.request("POST", "/lm/x", "q1", "body", UNUSUAL_FIELDS.toArray(String[]::new)));
        RawSocket prefillConnection = prefill.accept();
        assertPromptFieldsUnchanged(prefillConnection.read());
        prefillConnection.send(ScriptedReplica.response(200, "q1", "{\"prefill_handle\":\"h1\"}"));
        RawSocket decodeConnection = decode.accept();
        assertPromptFieldsUnchanged(decodeConnection.read());
        decodeConnection.send(ScriptedReplica.response(200, "q1", "served"));
        assertEquals("served", client.read().body());
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Pinewick-Model", "x-pinewick-token-count, X-Pinewick-Prompt-Prefix", "close"})
    void aConnectionHeaderCannotRemovePromptHeaders(String connectionOptions) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        String[] fields = new String[UNUSUAL_FIELDS.size() + 1];
        UNUSUAL_FIELDS.toArray(fields);
        fields[UNUSUAL_FIELDS.size()] = "Connection: " + connectionOptions;
        client.send(TestRouter.request("POST", "/plain/x", "q1", "body", fields));
        assertPromptFieldsUnchanged(replica.accept().read());
    }
}
