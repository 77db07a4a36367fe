package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading and validation of the tenants section. No fault may contain a key. */
class TenantsTest {
    private static final String KEY = "sk-alpha-2718";
    private static final String OTHER_KEY = "sk-beta-3141";
    private static final String ALPHA =
            """
            {"name":"alpha","api_keys":["%s","sk-alpha-2"],"priority":1,"unit":"token_accounting",\
            "uncached_tokens":200,"rate_per_s":349718,"burst_size":1000.5}"""
                    .formatted(KEY);
    private static final String BETA = "{\"name\":\"beta\",\"api_keys\":[\"" + OTHER_KEY + "\"]}";
    private static final String SHARED_KEY_CORRECTION = "'; give each tenant keys of its own";

    private static String withTenants(String value) {
        return "{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":" + value + "}";
    }

    private static ConfigurationDocument document(String tenants) throws InvalidConfigurationException {
        return ConfigurationChecks.parseReplacement(SampleDocuments.bytes(withTenants(tenants)));
    }

    private static RoutingTable table(String tenants) throws InvalidConfigurationException {
        return ConfigurationChecks.toRoutingTable(document(tenants));
    }

    private static ConfigurationDocument updated(String base, String changes) throws InvalidConfigurationException {
        return ConfigurationChecks.parseUpdate(
                document(base), SampleDocuments.bytes("{\"version\":4," + changes.strip() + "}"));
    }

    private static List<String> faultsOfUpdate(String base, String changes) {
        InvalidConfigurationException rejection =
                assertThrows(InvalidConfigurationException.class, () -> updated(base, changes));
        return rejection.faults().stream().map(ConfigurationFault::toString).toList();
    }

    @Test
    void findsATenantByEachOfItsKeysAndByItsName() throws InvalidConfigurationException {
        RoutingTable table = table("[" + ALPHA + "," + BETA + "]");
        Tenant alpha = table.tenantOfKey(KEY).orElseThrow();

        assertEquals(
                new Tenant(
                        "alpha",
                        Set.of(ApiKeyDigest.of(KEY), ApiKeyDigest.of("sk-alpha-2")),
                        OptionalInt.of(1),
                        new QuotaLimit(349_718, 1_000.5, QuotaUnit.TOKENS, 200)),
                alpha);
        assertEquals(alpha, table.tenantOfKey("sk-alpha-2").orElseThrow());
        assertEquals(alpha, table.tenant("alpha").orElseThrow());
        assertEquals("beta", table.tenantOfKey(OTHER_KEY).orElseThrow().name());
        assertTrue(table.tenantOfKey("sk-alpha-").isEmpty());
        assertTrue(table.tenant("gamma").isEmpty());
        assertEquals(
                List.of("alpha", "beta"),
                table.tenants().stream().map(Tenant::name).toList());
    }

    @Test
    void readsATenantWithOnlyAName() throws InvalidConfigurationException {
        Tenant tenant = table("[{\"name\":\"alpha\"}]").tenant("alpha").orElseThrow();

        assertEquals(new Tenant("alpha", Set.of(), OptionalInt.empty(), QuotaLimit.UNLIMITED), tenant);
        assertTrue(tenant.limit().isUnlimited());
    }

    @Test
    void treatsARateOfZeroAsUnlimited() throws InvalidConfigurationException {
        RoutingTable table = table("[{\"name\":\"a\",\"rate_per_s\":0,\"burst_size\":5},"
                + "{\"name\":\"b\",\"rate_per_s\":0.5},{\"name\":\"c\",\"rate_per_s\":null}]");

        assertTrue(table.tenant("a").orElseThrow().limit().isUnlimited());
        assertFalse(table.tenant("b").orElseThrow().limit().isUnlimited());
        assertTrue(table.tenant("c").orElseThrow().limit().isUnlimited());
    }

    @Test
    void requiresKeysIfThereIsATenantsSectionEvenIfItIsEmpty() throws InvalidConfigurationException {
        assertTrue(table("[" + ALPHA + "]").requiresKeys());
        assertTrue(table("[]").requiresKeys());
        assertTrue(
                ConfigurationChecks.toRoutingTable(updated("[" + ALPHA + "]", "\"removals\":{\"tenants\":[\"alpha\"]}"))
                        .requiresKeys());
        assertFalse(table("null").requiresKeys());
        assertFalse(ConfigurationChecks.toRoutingTable(SampleDocuments.full()).requiresKeys());
        assertFalse(RoutingTable.EMPTY.requiresKeys());
    }

    @Test
    void readsWhichRoutesAreAnonymous() throws InvalidConfigurationException {
        String body = SampleDocuments.FULL.replace("\"name\":\"r-1\"", "\"name\":\"r-1\",\"anonymous\":true");
        RoutingTable table =
                ConfigurationChecks.toRoutingTable(ConfigurationChecks.parseReplacement(SampleDocuments.bytes(body)));

        assertTrue(table.find("shop.example", "/a/").orElseThrow().anonymous());
        assertFalse(table.find("shop.example", "/b/").orElseThrow().anonymous());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "null",
                "[{\"name\":\"a\",\"api_keys\":null},{\"name\":\"b\",\"api_keys\":[]},{\"name\":\"c\"}]",
                "[{\"name\":\"a\",\"api_keys\":[\"sk-1\",\"sk-1\"]}]",
                "[{\"name\":\"a\",\"priority\":-1,\"uncached_tokens\":-1,\"title\":{\"x\":1.0}}]",
            })
    void returnsTheDocumentAsSubmitted(String tenants) throws InvalidConfigurationException {
        assertEquals(withTenants(tenants), SampleDocuments.json(document(tenants)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "{\"sk-alpha-2718\":1}|tenants: is not a list of items",
                "[\"sk-alpha-2718\"]|tenants[0].name: is missing or no text; give each item a name",
                "[{\"name\":\"a\"},{\"name\":\"a\"}]|"
                        + "tenants/a.name: is used twice; give each item a name of its own",
                "[{\"name\":\"a\",\"api_keys\":\"sk-alpha-2718\"}]|tenants/a.api_keys: is not a list",
                "[{\"name\":\"a\",\"api_keys\":[\"k\",2718]}]|"
                        + "tenants/a.api_keys[1]: is empty or no text; give each key as a text",
                "[{\"name\":\"a\",\"api_keys\":[\"\"]}]|"
                        + "tenants/a.api_keys[0]: is empty or no text; give each key as a text",
                "[{\"name\":\"a\",\"api_keys\":[[\"sk-alpha-2718\"]]}]|"
                        + "tenants/a.api_keys[0]: is empty or no text; give each key as a text",
                "[{\"name\":\"a\",\"priority\":\"sk-alpha-2718\"}]|tenants/a.priority: is not a supported number",
                "[{\"name\":\"a\",\"rate_per_s\":-0.5}]|tenants/a.rate_per_s: is below 0; give a number from 0 up",
                "[{\"name\":\"a\",\"burst_size\":-1}]|tenants/a.burst_size: is below 0; give a number from 0 up",
                "[{\"name\":\"a\",\"rate_per_s\":\"9\"}]|tenants/a.rate_per_s: is not a supported number",
                "[{\"name\":\"a\",\"uncached_tokens\":[]}]|" + "tenants/a.uncached_tokens: is not a supported number",
                "[{\"name\":\"a\",\"unit\":7}]|tenants/a.unit: is not a text; put it in quotes",
            })
    void reportsTheTenantTheFieldAndTheCorrection(String tenants, String fault) {
        List<String> faults = SampleDocuments.faultsOf(withTenants(tenants));

        assertEquals(List.of(fault), faults);
        assertFalse(fault.contains(KEY));
    }

    @Test
    void reportsASharedKeyForEachTenant() {
        String fingerprint = ApiKeyDigest.of(KEY).fingerprint();
        List<String> faults = SampleDocuments.faultsOf(withTenants(
                "[" + ALPHA + "," + BETA.replace(OTHER_KEY, KEY) + "," + ALPHA.replace("alpha\"", "c\"") + "]"));

        String secondFingerprint = ApiKeyDigest.of("sk-alpha-2").fingerprint();
        assertEquals(
                List.of(
                        "tenants/alpha.api_keys: shares a key (fingerprint " + fingerprint + ") with tenant 'beta"
                                + SHARED_KEY_CORRECTION,
                        "tenants/alpha.api_keys: shares a key (fingerprint " + secondFingerprint + ") with tenant 'c"
                                + SHARED_KEY_CORRECTION,
                        "tenants/beta.api_keys: shares a key (fingerprint " + fingerprint + ") with tenant 'alpha"
                                + SHARED_KEY_CORRECTION,
                        "tenants/c.api_keys: shares a key (fingerprint " + fingerprint + ") with tenant 'alpha"
                                + SHARED_KEY_CORRECTION,
                        "tenants/c.api_keys: shares a key (fingerprint " + secondFingerprint + ") with tenant 'alpha"
                                + SHARED_KEY_CORRECTION),
                faults);
    }

    @Test
    void rejectsAnUpdateThatMakesTwoTenantsShareAKey() {
        String fingerprint = ApiKeyDigest.of(KEY).fingerprint();

        assertEquals(
                List.of(
                        "tenants/alpha.api_keys: shares a key (fingerprint " + fingerprint + ") with tenant 'beta"
                                + SHARED_KEY_CORRECTION,
                        "tenants/beta.api_keys: shares a key (fingerprint " + fingerprint + ") with tenant 'alpha"
                                + SHARED_KEY_CORRECTION),
                faultsOfUpdate(
                        "[" + ALPHA + "," + BETA + "]",
                        "\"upserts\":{\"tenants\":[" + BETA.replace(OTHER_KEY, KEY) + "]}"));
    }

    @Test
    void acceptsMovingAKeyToAnotherTenant() throws InvalidConfigurationException {
        ConfigurationDocument next = updated(
                "[" + ALPHA + "," + BETA + "]",
                "\"upserts\":{\"tenants\":[" + BETA.replace(OTHER_KEY, KEY)
                        + "]},\"removals\":{\"tenants\":[\"alpha\"]}");
        RoutingTable table = ConfigurationChecks.toRoutingTable(next);

        assertEquals("beta", table.tenantOfKey(KEY).orElseThrow().name());
        assertTrue(table.tenantOfKey("sk-alpha-2").isEmpty());
        assertTrue(table.tenantOfKey(OTHER_KEY).isEmpty());
    }

    @Test
    void appliesUpsertsAndRemovals() throws InvalidConfigurationException {
        ConfigurationDocument next = updated(
                "[" + ALPHA + "," + BETA + "]",
                "\"upserts\":{\"tenants\":[{\"name\":\"gamma\"},"
                        + "{\"name\":\"beta\",\"api_keys\":[]}]},\"removals\":{\"tenants\":[\"alpha\",\"none\"]}");

        assertEquals(
                "{\"version\":4,\"routes\":[],\"services\":[],"
                        + "\"tenants\":[{\"name\":\"beta\",\"api_keys\":[]},{\"name\":\"gamma\"}]}",
                SampleDocuments.json(next));
    }

    @Test
    void isReproducedByADelta() throws InvalidConfigurationException {
        ConfigurationDocument from = document("[" + ALPHA + "," + BETA + "]");
        for (ConfigurationDocument to : List.of(
                document("[" + BETA + "," + ALPHA + "]"),
                document("[" + ALPHA + "]"),
                document("[]"),
                document("null"),
                SampleDocuments.full())) {
            byte[] bytes = ConfigurationChecks.writeDelta(ConfigurationDelta.between(from, to));
            ConfigurationDocument applied = ConfigurationChecks.readDelta(bytes).applyTo(from);

            assertEquals(SampleDocuments.json(to), SampleDocuments.json(applied));
            assertEquals(
                    ConfigurationChecks.toRoutingTable(to).requiresKeys(),
                    ConfigurationChecks.toRoutingTable(applied).requiresKeys());
        }
    }

    @Test
    void treatsAnyUnitExceptTokensAsRequests() throws InvalidConfigurationException {
        String body = "{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":["
                + "{\"name\":\"a\",\"unit\":\"requests\"},{\"name\":\"b\",\"unit\":\"token_accounting\"}]}";
        ConfigurationDocument document = ConfigurationChecks.parseReplacement(body.getBytes(StandardCharsets.UTF_8));
        RoutingTable table = ConfigurationChecks.toRoutingTable(document);
        assertEquals(QuotaUnit.REQUESTS, table.tenant("a").orElseThrow().limit().unit());
        assertEquals(QuotaUnit.TOKENS, table.tenant("b").orElseThrow().limit().unit());
    }
}
