package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.Stage;

/** A replica learns the tenant of the client's key, and never the key, on every call. */
class TenantHeadersTest {
    private static final String KEY_FIELD = TestRouter.keyField("key-1");
    private static final String CLAIM = "X-Pinewick-Tenant: t-2";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private TestRouter router;
    private RawSocket client;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.tenants = TestRouter.tenant("t-1", "key-1") + "," + TestRouter.tenant("t-2", "key-2", "key-3");
        configure();
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private void configure() throws Exception {
        String resumable = TestRouter.streamRoute(true, 3);
        String anonymous = TestRouter.route("open", "/open/", "idempotent", "plain", 3, "false,\"anonymous\":true");
        router.configure(resumable, TestRouter.plainRoute("idempotent", 3), anonymous);
    }

    private void send(String target, String id, String... fields) throws Exception {
        client.send(TestRouter.request("POST", target, id, "body", fields));
    }

    /** The fields that tell on whose behalf a request is sent. */
    private static List<String> identityFields(HttpText.Message forwarded) {
        return forwarded.fields().stream()
                .filter(field -> field.toLowerCase(Locale.ROOT).matches("(authorization|x-pinewick-tenant):.*"))
                .toList();
    }

    private static void assertSentFor(String tenant, HttpText.Message forwarded) {
        assertEquals(List.of("X-Pinewick-Tenant: " + tenant), identityFields(forwarded));
        assertFalse(forwarded.toString().contains("key-"), "the key reaches the replica");
    }

    private static void assertSentForNobody(HttpText.Message forwarded) {
        assertEquals(List.of(), identityFields(forwarded));
    }

    @ParameterizedTest
    @CsvSource({"key-1,t-1", "key-2,t-2", "key-3,t-2"})
    void aPlainCallCarriesTheTenantInPlaceOfTheKey(String key, String tenant) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", TestRouter.keyField(key));
        assertSentFor(tenant, replica.accept().read());
    }

    @Test
    void theRetryOfACallCarriesTheTenantInPlaceOfTheKey() throws Exception {
        ScriptedReplica first = router.replica("i-1", "plain", Stage.NONE);
        ScriptedReplica second = router.replica("i-2", "plain", Stage.NONE);
        router.forceChoices("i-1", "i-2");
        send("/plain/x", "q1", KEY_FIELD, CLAIM);
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.reset();
        assertSentFor("t-1", second.accept().read());
    }

    @Test
    void thePrefillCallCarriesTheTenantInPlaceOfTheKey() throws Exception {
        ScriptedReplica prefill = router.replica("p-1", "lm", Stage.PREFILL);
        router.replica("d-1", "lm", Stage.DECODE);
        router.forceChoices("p-1+d-1");
        send("/lm/x", "q1", KEY_FIELD, CLAIM);
        assertSentFor("t-1", prefill.accept().read());
    }

    @Test
    void theDecodeCallCarriesTheTenantInPlaceOfTheKey() throws Exception {
        ScriptedReplica prefill = router.replica("p-1", "lm", Stage.PREFILL);
        ScriptedReplica decode = router.replica("d-1", "lm", Stage.DECODE);
        router.forceChoices("p-1+d-1");
        send("/lm/x", "q1", KEY_FIELD, CLAIM);
        RawSocket upstream = prefill.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "{\"prefill_handle\":\"h1\"}"));
        assertSentFor("t-1", decode.accept().read());
    }

    @Test
    void aResumedStreamCarriesTheTenantInPlaceOfTheKey() throws Exception {
        ScriptedReplica first = router.replica("i-1", "lm", Stage.DECODE);
        ScriptedReplica second = router.replica("i-2", "lm", Stage.DECODE);
        router.forceChoices("i-1", "i-2");
        send("/lm/x", "q1", KEY_FIELD, CLAIM);
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(EVENT));
        client.readHead();
        assertEquals(EVENT, client.readChunk());
        upstream.reset();
        HttpText.Message resumed = second.accept().read();
        assertEquals("1", resumed.field("Last-Event-Id"));
        assertSentFor("t-1", resumed);
    }

    @Test
    void requestsOnOneConnectionDoNotShareATenant() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", KEY_FIELD);
        RawSocket upstream = replica.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "served"));
        client.read();
        send("/plain/x", "q2", TestRouter.keyField("key-2"));
        assertSentFor("t-2", upstream.read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                CLAIM,
                "X-Pinewick-Tenant: t-1, t-2",
                "X-Pinewick-Tenant:",
                "x-pinewick-tenant: t-2|X-PINEWICK-TENANT: t-2",
                "Connection: X-Pinewick-Tenant",
                CLAIM + "|Connection: close, x-pinewick-tenant"
            })
    void aClientCannotNameItsTenant(String claims) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", (KEY_FIELD + "|" + claims).split("\\|"));
        assertSentFor("t-1", replica.accept().read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "authorization: bearer key-1",
                "AUTHORIZATION: BEARER key-1",
                "Authorization:Bearer  key-1",
                "Authorization: \tBearer key-1 \t",
                "Authorization: Bearer key-1|Connection: Authorization"
            })
    void aKeyIsRecognizedInEverySpellingOfItsField(String fields) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", fields.split("\\|"));
        assertSentFor("t-1", replica.accept().read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Authorization: Bearer key-1|Authorization: Bearer key-2",
                "Authorization: Bearer key-1, Bearer key-2",
                "Authorization: Bearer key-1 key-2",
                "Authorization: Bearer KEY-1",
                "Authorization: Basic key-1",
                "Authorization: Bearer",
                "Authorization: Bearerkey-1",
                "Authorization:",
                CLAIM
            })
    void withoutExactlyOneKnownKeyARequestIsUnauthorized(String fields) throws Exception {
        send("/plain/x", "q1", fields.split("\\|"));
        assertEquals(401, client.read().status());
    }

    @Test
    void anAnonymousRouteSetsTheTenantOfAKnownKey() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/open/x", "q1", KEY_FIELD, CLAIM);
        assertSentFor("t-1", replica.accept().read());
    }

    @ParameterizedTest
    @ValueSource(strings = {CLAIM, "Authorization: Bearer unknown", CLAIM + "|Authorization: Bearer unknown"})
    void anAnonymousRouteForwardsNeitherAnUnknownKeyNorAClaim(String fields) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/open/x", "q1", fields.split("\\|"));
        assertSentForNobody(replica.accept().read());
    }

    @Test
    void withoutTenantsBothFieldsAreForwardedAsTheyCame() throws Exception {
        router.tenants = "";
        configure();
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", KEY_FIELD, CLAIM);
        assertEquals(List.of(KEY_FIELD, CLAIM), identityFields(replica.accept().read()));
    }
}
