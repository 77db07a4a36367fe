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

/** Every call carries the tenant of the client's key, and never the key. */
class TenantHeadersTest {
    private static final String KEY_FIELD = TestRouter.keyField("key-1");
    private static final String CLAIMED_TENANT = "X-Pinewick-Tenant: t-2";
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

    /** The header fields that identify the tenant or carry a key. */
    private static List<String> identityFields(HttpText.Message forwarded) {
        return forwarded.fields().stream()
                .filter(field -> field.toLowerCase(Locale.ROOT).matches("(authorization|x-pinewick-tenant):.*"))
                .toList();
    }

    private static void assertSentWithTenant(String tenant, HttpText.Message forwarded) {
        assertEquals(List.of("X-Pinewick-Tenant: " + tenant), identityFields(forwarded));
        assertFalse(forwarded.toString().contains("key-"), "the key was forwarded to the replica");
    }

    private static void assertSentWithoutTenant(HttpText.Message forwarded) {
        assertEquals(List.of(), identityFields(forwarded));
    }

    @ParameterizedTest
    @CsvSource({"key-1,t-1", "key-2,t-2", "key-3,t-2"})
    void aPlainCallCarriesTheTenantInsteadOfTheKey(String key, String tenant) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", TestRouter.keyField(key));
        assertSentWithTenant(tenant, replica.accept().read());
    }

    @Test
    void aRetryCarriesTheTenantInsteadOfTheKey() throws Exception {
        ScriptedReplica first = router.replica("i-1", "plain", Stage.NONE);
        ScriptedReplica second = router.replica("i-2", "plain", Stage.NONE);
        router.forceChoices("i-1", "i-2");
        send("/plain/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.reset();
        assertSentWithTenant("t-1", second.accept().read());
    }

    @Test
    void thePrefillCallCarriesTheTenantInsteadOfTheKey() throws Exception {
        ScriptedReplica prefill = router.replica("p-1", "lm", Stage.PREFILL);
        router.replica("d-1", "lm", Stage.DECODE);
        router.forceChoices("p-1+d-1");
        send("/lm/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        assertSentWithTenant("t-1", prefill.accept().read());
    }

    @Test
    void theDecodeCallCarriesTheTenantInsteadOfTheKey() throws Exception {
        ScriptedReplica prefill = router.replica("p-1", "lm", Stage.PREFILL);
        ScriptedReplica decode = router.replica("d-1", "lm", Stage.DECODE);
        router.forceChoices("p-1+d-1");
        send("/lm/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        RawSocket upstream = prefill.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q1", "{\"prefill_handle\":\"h1\"}"));
        assertSentWithTenant("t-1", decode.accept().read());
    }

    @Test
    void aResumedStreamCarriesTheTenantInsteadOfTheKey() throws Exception {
        ScriptedReplica first = router.replica("i-1", "lm", Stage.DECODE);
        ScriptedReplica second = router.replica("i-2", "lm", Stage.DECODE);
        router.forceChoices("i-1", "i-2");
        send("/lm/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send(ScriptedReplica.streamHead("q1") + ScriptedReplica.chunk(EVENT));
        client.readHead();
        assertEquals(EVENT, client.readChunk());
        upstream.reset();
        HttpText.Message resumed = second.accept().read();
        assertEquals("1", resumed.field("Last-Event-Id"));
        assertSentWithTenant("t-1", resumed);
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
        assertSentWithTenant("t-2", upstream.read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                CLAIMED_TENANT,
                "X-Pinewick-Tenant: t-1, t-2",
                "X-Pinewick-Tenant:",
                "x-pinewick-tenant: t-2|X-PINEWICK-TENANT: t-2",
                "Connection: X-Pinewick-Tenant",
                CLAIMED_TENANT + "|Connection: close, x-pinewick-tenant"
            })
    void aClientCannotSetItsTenant(String claimFields) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", (KEY_FIELD + "|" + claimFields).split("\\|"));
        assertSentWithTenant("t-1", replica.accept().read());
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
    void acceptsEveryValidSpellingOfTheAuthorizationHeader(String fields) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", fields.split("\\|"));
        assertSentWithTenant("t-1", replica.accept().read());
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
                CLAIMED_TENANT
            })
    void withoutExactlyOneKnownKeyARequestIsUnauthorized(String fields) throws Exception {
        send("/plain/x", "q1", fields.split("\\|"));
        assertEquals(401, client.read().status());
    }

    @Test
    void anAnonymousRouteSetsTheTenantOfAKnownKey() throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/open/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        assertSentWithTenant("t-1", replica.accept().read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                CLAIMED_TENANT,
                "Authorization: Bearer unknown",
                CLAIMED_TENANT + "|Authorization: Bearer unknown"
            })
    void anAnonymousRouteForwardsNeitherAnUnknownKeyNorAClaimedTenant(String fields) throws Exception {
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/open/x", "q1", fields.split("\\|"));
        assertSentWithoutTenant(replica.accept().read());
    }

    @Test
    void withoutTenantsBothFieldsAreForwardedUnchanged() throws Exception {
        router.tenants = "";
        configure();
        ScriptedReplica replica = router.replica("i-1", "plain", Stage.NONE);
        send("/plain/x", "q1", KEY_FIELD, CLAIMED_TENANT);
        assertEquals(
                List.of(KEY_FIELD, CLAIMED_TENANT),
                identityFields(replica.accept().read()));
    }
}
