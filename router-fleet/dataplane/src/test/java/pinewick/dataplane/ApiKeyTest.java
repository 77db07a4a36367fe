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

/** Authentication by API key if the configuration has tenants; only the newest configuration is used. */
class ApiKeyTest {
    private static final String KEYED_ROUTE = TestRouter.plainRoute("non_idempotent", 1);
    private static final String ANONYMOUS_ROUTE =
            TestRouter.route("open", "/open/", "non_idempotent", "plain", 1, "false,\"anonymous\":true");
    private static final String TENANT_WITHOUT_KEYS = "{\"name\":\"t-1\",\"api_keys\":[],\"priority\":1}";
    private static final String KEYED_PATH = "/plain/x";
    private static final String ANONYMOUS_PATH = "/open/x";

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

    private HttpText.Message responseTo(String target, String id, String... fields) throws Exception {
        try (RawSocket client = router.client()) {
            client.send(TestRouter.request("POST", target, id, "body", fields));
            return client.read();
        }
    }

    private HttpText.Message assertRouterResponds(int status, String target, String... fields) throws Exception {
        return assertRouterResponds(status, replica, target, fields);
    }

    /** The router responds by itself; {@link #serve} checks what arrives on a connection accepted earlier. */
    private HttpText.Message assertRouterResponds(
            int status, ScriptedReplica unusedReplica, String target, String... fields) throws Exception {
        HttpText.Message response = responseTo(target, "rejected", fields);
        boolean connected = unusedReplica.hasPendingConnection();
        assertEquals(status, response.status(), "new connection to the replica: " + connected);
        assertFalse(connected, "new connection to the replica");
        return response;
    }

    /** The request is the next one that reaches the replica, and the client receives the replica's response. */
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

    // ---- known keys

    @Test
    void aKnownKeyIsServed() throws Exception {
        serve(KEYED_PATH, "known", TestRouter.keyField("key-1"));
    }

    @Test
    void aRequestWithoutAKeyIsRejected() throws Exception {
        assertRouterResponds(401, KEYED_PATH);
        serve(KEYED_PATH, "known", TestRouter.keyField("key-1"));
    }

    @Test
    void aStreamWithoutAKeyIsRejected() throws Exception {
        ScriptedReplica decode = router.replica("i-2", "lm", Stage.DECODE);
        assertRouterResponds(401, decode, "/lm/g");
    }

    @ParameterizedTest
    @ValueSource(strings = {"key-2", "key-", "key-11", "KEY-1", "t-1"})
    void anUnknownKeyIsRejected(String key) throws Exception {
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField(key));
        serve(KEYED_PATH, "known", TestRouter.keyField("key-1"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer", "key-1", "Bearerkey-1", "Bearer key-1 key-1", "Bearer key-1,key-1"})
    void aMalformedAuthorizationHeaderIsRejected(String value) throws Exception {
        assertRouterResponds(401, KEYED_PATH, "Authorization: " + value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Basic key-1", "Basic a2V5LTE6", "Token key-1"})
    void anotherAuthenticationSchemeIsRejected(String value) throws Exception {
        assertRouterResponds(401, KEYED_PATH, "Authorization: " + value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"key-1", "key-2"})
    void twoAuthorizationHeadersAreRejected(String second) throws Exception {
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"), TestRouter.keyField(second));
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField(second), TestRouter.keyField("key-1"));
    }

    // ---- changes of the configuration

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-No-Key: 1",
                "Authorization: Bearer key-2",
                "Authorization: Bearer",
                "Authorization: Basic key-1",
                "Authorization: Bearer key-1\r\nAuthorization: Bearer key-2"
            })
    void aRouterWithoutAConfirmedConfigurationReturns503(String field) throws Exception {
        router.configurationConfirmed = false;
        HttpText.Message response = assertRouterResponds(503, KEYED_PATH, field);
        assertNotNull(response.field("Retry-After"));
        assertTrue(Double.parseDouble(response.field("Retry-After")) > 0, response.field("Retry-After"));
        assertEquals("rejected", response.field("X-Pinewick-Request-Id"));
        assertNull(response.field("X-Pinewick-Server-Signature"));
    }

    @Test
    void aReplacedKeyIsRejectedAndTheNewOneServed() throws Exception {
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        configure(TestRouter.tenant("t-1", "key-2"));
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        serve(KEYED_PATH, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void aRevokedKeyIsRejectedOnAConnectionThatHasUsedIt() throws Exception {
        RawSocket client = router.client();
        client.send(TestRouter.request("POST", KEYED_PATH, "before", "body", TestRouter.keyField("key-1")));
        upstream = replica.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "before", "served"));
        assertEquals(200, client.read().status());
        configure(TestRouter.tenant("t-1", "key-2"));
        client.send(TestRouter.request("POST", KEYED_PATH, "rejected", "body", TestRouter.keyField("key-1")));
        assertEquals(401, client.read().status());
        serve(KEYED_PATH, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void aKeyRevokedByAnUpdateIsRejected() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1", "key-2"));
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        update("\"upserts\":{\"tenants\":[" + TestRouter.tenant("t-1", "key-2") + "]}");
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        serve(KEYED_PATH, "after", TestRouter.keyField("key-2"));
    }

    @Test
    void anAddedKeyIsServedInAdditionToTheEarlierOne() throws Exception {
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-2"));
        configure(TestRouter.tenant("t-1", "key-1", "key-2"));
        serve(KEYED_PATH, "added", TestRouter.keyField("key-2"));
        serve(KEYED_PATH, "earlier", TestRouter.keyField("key-1"));
    }

    @Test
    void theKeyOfATenantThatAReplacementOmitsIsRejected() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1") + "," + TestRouter.tenant("t-2", "key-2"));
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        configure(TestRouter.tenant("t-2", "key-2"));
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        serve(KEYED_PATH, "other", TestRouter.keyField("key-2"));
    }

    @Test
    void theKeyOfATenantThatAnUpdateRemovesIsRejected() throws Exception {
        configure(TestRouter.tenant("t-1", "key-1") + "," + TestRouter.tenant("t-2", "key-2"));
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        update("\"removals\":{\"tenants\":[\"t-1\"]}");
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        serve(KEYED_PATH, "other", TestRouter.keyField("key-2"));
    }

    @Test
    void theKeyOfTheLastTenantThatAnUpdateRemovesIsRejected() throws Exception {
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        update("\"removals\":{\"tenants\":[\"t-1\"]}");
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        assertRouterResponds(401, KEYED_PATH);
        serve(ANONYMOUS_PATH, "anonymous");
    }

    @Test
    void aTenantThatLosesItsLastKeyIsRejected() throws Exception {
        serve(KEYED_PATH, "before", TestRouter.keyField("key-1"));
        configure(TENANT_WITHOUT_KEYS);
        assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-1"));
        assertRouterResponds(401, KEYED_PATH);
        serve(ANONYMOUS_PATH, "anonymous");
    }

    @Test
    void aConfigurationWithoutTenantsServesWithoutKeys() throws Exception {
        configure("");
        serve(KEYED_PATH, "none");
        serve(KEYED_PATH, "any", TestRouter.keyField("key-2"));
    }

    // ---- routes that require a key

    @Test
    void anAnonymousRouteIsServedWithoutAKeyAndWithAnUnknownOne() throws Exception {
        serve(ANONYMOUS_PATH, "none");
        serve(ANONYMOUS_PATH, "unknown", TestRouter.keyField("key-2"));
    }

    @Test
    void anUnknownRouteGets404WithAnyKey() throws Exception {
        assertRouterResponds(404, "/elsewhere/x");
        assertRouterResponds(404, "/elsewhere/x", TestRouter.keyField("key-2"));
        assertRouterResponds(404, "/elsewhere/x", TestRouter.keyField("key-1"));
    }

    // ---- content of a rejection

    @Test
    void aRejectionContainsTheRequestIdAndNothingElse() throws Exception {
        HttpText.Message response = assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-of-nobody"));
        assertEquals("rejected", response.field("X-Pinewick-Request-Id"));
        assertNull(response.field("X-Pinewick-Server-Signature"));
        assertNull(response.field("X-Pinewick-Not-Executed"));
        assertFalse(response.toString().contains("key-of-nobody"), "the response repeats the key");
    }

    @Test
    void noKeyIsLogged() throws Exception {
        try (RecordedLog log = new RecordedLog()) {
            configure(TestRouter.tenant("t-1", "key-of-somebody"));
            assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-of-nobody"));
            assertRouterResponds(401, KEYED_PATH, "Authorization: Basic key-of-nobody");
            serve(KEYED_PATH, "known", TestRouter.keyField("key-of-somebody"));
            configure(TENANT_WITHOUT_KEYS);
            assertRouterResponds(401, KEYED_PATH, TestRouter.keyField("key-of-somebody"));
            assertFalse(log.text().contains("key-of-"), log.text());
        }
    }
}
