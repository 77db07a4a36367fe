package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.ConfigurationChecks;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.Stage;

/** Who is served where the configuration has tenants: the key decides, by the newest configuration only. */
class ApiKeyTest {
    private static final String KEYED_ROUTE = TestRouter.plainRoute("non_idempotent", 1);
    private static final String ANONYMOUS_ROUTE =
            TestRouter.route("open", "/open/", "non_idempotent", "plain", 1, "false,\"anonymous\":true");
    private static final String TENANT_WITHOUT_KEYS = "{\"name\":\"t-1\",\"api_keys\":[],\"priority\":1}";
    private static final String KEYED = "/plain/x";
    private static final String ANONYMOUS = "/open/x";

    private TestRouter router;
    private ScriptedReplica replica;
    private RawSocket upstream;

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        replica = router.replica("i-1", "plain", Stage.NONE);
        configure(TestRouter.tenant("t-1", "key-1"));
    }

    @AfterEach
    void stop() throws Exception {
        if (upstream != null) {
            upstream.close();
        }
        router.close();
    }

    private void configure(String tenants) throws InvalidConfigurationException {
        router.tenants = tenants;
        router.configure(KEYED_ROUTE, TestRouter.streamRoute(false, 1), ANONYMOUS_ROUTE);
    }

    /** Changes single items, as {@code POST /config/update} does. */
    private void update(String changes) throws InvalidConfigurationException {
        String json =
                "{\"version\":%d,%s}".formatted(router.state.configuration().version() + 1, changes);
        router.state.offer(
                ConfigurationChecks.parseUpdate(router.state.configuration(), json.getBytes(StandardCharsets.UTF_8)));
    }

    private HttpText.Message answerTo(String target, String id, String... fields) throws Exception {
        try (RawSocket client = router.client()) {
            client.send(TestRouter.request("POST", target, id, "body", fields));
            return client.read();
        }
    }

    private HttpText.Message assertAnswered(int status, String target, String... fields) throws Exception {
        return assertAnswered(status, replica, target, fields);
    }

    /** The request is answered without a replica; {@link #serve} sees what comes on a connection accepted before. */
    private HttpText.Message assertAnswered(int status, ScriptedReplica unreached, String target, String... fields)
            throws Exception {
        HttpText.Message response = answerTo(target, "refused", fields);
        boolean connected = unreached.hasPendingConnection();
        assertEquals(status, response.status(), "new connection to the replica: " + connected);
        assertFalse(connected, "new connection to the replica");
        return response;
    }

    /** The request is the next that reaches the replica, and its answer comes back. */
    private void serve(String target, String id, String... fields) throws Exception {
        try (RawSocket client = router.client()) {
            client.send(TestRouter.request("POST", target, id, "body", fields));
            upstream = upstream == null ? replica.accept() : upstream;
            assertEquals(id, upstream.read().field("X-Pinewick-Request-Id"));
            upstream.send(ScriptedReplica.response(200, id, "served"));
            HttpText.Message response = client.read();
            assertEquals(200, response.status());
            assertEquals("served", response.body());
        }
    }

    // ---- which keys are known

    @Test
    void aKnownKeyIsServed() throws Exception {
        serve(KEYED, "known", TestRouter.keyField("key-1"));
    }

    @Test
    void aRequestWithoutAKeyIsRefused() throws Exception {
        assertAnswered(401, KEYED);
        serve(KEYED, "known", TestRouter.keyField("key-1"));
    }

    @Test
    void aStreamWithoutAKeyIsRefused() throws Exception {
        ScriptedReplica decode = router.replica("i-2", "lm", Stage.DECODE);
        assertAnswered(401, decode, "/lm/g");
    }

    @ParameterizedTest
    @ValueSource(strings = {"key-2", "key-", "key-11", "KEY-1", "t-1"})
    void anUnknownKeyIsRefused(String key) throws Exception {
        assertAnswered(401, KEYED, TestRouter.keyField(key));
        serve(KEYED, "known", TestRouter.keyField("key-1"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer", "key-1", "Bearerkey-1", "Bearer key-1 key-1", "Bearer key-1,key-1"})
    void aMalformedFieldIsRefused(String value) throws Exception {
        assertAnswered(401, KEYED, "Authorization: " + value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Basic key-1", "Basic a2V5LTE6", "Token key-1"})
    void anotherSchemeIsRefused(String value) throws Exception {
        assertAnswered(401, KEYED, "Authorization: " + value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"key-1", "key-2"})
    void twoFieldsAreRefusedWhateverTheyCarry(String second) throws Exception {
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"), TestRouter.keyField(second));
        assertAnswered(401, KEYED, TestRouter.keyField(second), TestRouter.keyField("key-1"));
    }

    // ---- which configuration decides

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-No-Key: 1",
                "Authorization: Bearer key-2",
                "Authorization: Bearer",
                "Authorization: Basic key-1",
                "Authorization: Bearer key-1\r\nAuthorization: Bearer key-2"
            })
    void aRouterWithoutAConfirmedConfigurationSendsTheClientElsewhere(String field) throws Exception {
        router.configurationConfirmed = false;
        HttpText.Message response = assertAnswered(503, KEYED, field);
        assertNotNull(response.field("Retry-After"));
        assertTrue(Double.parseDouble(response.field("Retry-After")) > 0, response.field("Retry-After"));
        assertEquals("refused", response.field("X-Pinewick-Request-Id"));
        assertNull(response.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aKeyThatIsReplacedIsRefusedAndTheNewOneServed() throws Exception {
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        configure(TestRouter.tenant("t-1", "key-2"));
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        serve(KEYED, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void aKeyTakenAwayIsRefusedOnAConnectionThatItHasUsed() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", KEYED, "before", "body", TestRouter.keyField("key-1")));
        upstream = replica.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "before", "served"));
        assertEquals(200, client.read().status());
        configure(TestRouter.tenant("t-1", "key-2"));
        client.send(TestRouter.request("POST", KEYED, "refused", "body", TestRouter.keyField("key-1")));
        assertEquals(401, client.read().status());
        serve(KEYED, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void aKeyTakenAwayByAnUpdateIsRefused() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1", "key-2"));
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        update("\"upserts\":{\"tenants\":[" + TestRouter.tenant("t-1", "key-2") + "]}");
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        serve(KEYED, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void aKeyAddedIsServedBesideTheEarlierOne() throws Exception {
        assertAnswered(401, KEYED, TestRouter.keyField("key-2"));
        configure(TestRouter.tenant("t-1", "key-1", "key-2"));
        serve(KEYED, "added", TestRouter.keyField("key-2"));
        serve(KEYED, "earlier", TestRouter.keyField("key-1"));
    }

    @Test
    void theKeyOfATenantThatIsLeftOutIsRefused() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1") + "," + TestRouter.tenant("t-2", "key-2"));
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        configure(TestRouter.tenant("t-2", "key-2"));
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        serve(KEYED, "other", TestRouter.keyField("key-2"));
    }

    @Test
    void theKeyOfATenantThatAnUpdateRemovesIsRefused() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1") + "," + TestRouter.tenant("t-2", "key-2"));
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        update("\"removals\":{\"tenants\":[\"t-1\"]}");
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        serve(KEYED, "other", TestRouter.keyField("key-2"));
    }

    @Test
    void theKeyOfTheLastTenantThatAnUpdateRemovesIsRefused() throws Exception {
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        update("\"removals\":{\"tenants\":[\"t-1\"]}");
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        assertAnswered(401, KEYED);
        serve(ANONYMOUS, "anonymous");
    }

    @Test
    void aTenantThatLosesItsLastKeyIsRefused() throws Exception {
        serve(KEYED, "before", TestRouter.keyField("key-1"));
        configure(TENANT_WITHOUT_KEYS);
        assertAnswered(401, KEYED, TestRouter.keyField("key-1"));
        assertAnswered(401, KEYED);
        serve(ANONYMOUS, "anonymous");
    }

    @Test
    void aConfigurationWithoutTenantsServesWithoutKeys() throws Exception {
        configure("");
        serve(KEYED, "none");
        serve(KEYED, "any", TestRouter.keyField("key-2"));
    }

    // ---- which routes ask for a key

    @Test
    void anAnonymousRouteIsServedWithoutAKeyAndWithAnUnknownOne() throws Exception {
        serve(ANONYMOUS, "none");
        serve(ANONYMOUS, "unknown", TestRouter.keyField("key-2"));
    }

    @Test
    void aRouteThatDoesNotExistIsNotFoundWhateverTheKey() throws Exception {
        assertAnswered(404, "/elsewhere/x");
        assertAnswered(404, "/elsewhere/x", TestRouter.keyField("key-2"));
        assertAnswered(404, "/elsewhere/x", TestRouter.keyField("key-1"));
    }

    // ---- what a refusal tells

    @Test
    void aRefusalNamesTheRequestAndNothingElse() throws Exception {
        HttpText.Message response = assertAnswered(401, KEYED, TestRouter.keyField("key-of-nobody"));
        assertEquals("refused", response.field("X-Pinewick-Request-Id"));
        assertNull(response.field("X-Pinewick-Server-Signature"));
        assertNull(response.field("X-Pinewick-Not-Executed"));
        assertFalse(response.toString().contains("key-of-nobody"), "the answer repeats the key");
    }

    @Test
    void noKeyIsLogged() throws Exception {
        try (RecordedLog log = new RecordedLog()) {
            configure(TestRouter.tenant("t-1", "key-of-somebody"));
            assertAnswered(401, KEYED, TestRouter.keyField("key-of-nobody"));
            assertAnswered(401, KEYED, "Authorization: Basic key-of-nobody");
            serve(KEYED, "known", TestRouter.keyField("key-of-somebody"));
            configure(TENANT_WITHOUT_KEYS);
            assertAnswered(401, KEYED, TestRouter.keyField("key-of-somebody"));
            assertFalse(log.text().contains("key-of-"), log.text());
        }
    }
}
