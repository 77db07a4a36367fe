package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class UpdateTest {
    private static final String ROUTE_3 = "{\"name\":\"r-3\",\"hostname\":\"shop.example\",\"path_prefix\":\"/c/\","
            + "\"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s-2\"}";

    private static ConfigurationDocument updated(String body) throws InvalidConfigurationException {
        return ConfigurationChecks.parseUpdate(SampleDocuments.full(), SampleDocuments.bytes(body));
    }

    private static List<String> faultsOf(String body) {
        InvalidConfigurationException rejection =
                assertThrows(InvalidConfigurationException.class, () -> updated(body));
        return rejection.faults().stream().map(ConfigurationFault::toString).toList();
    }

    @Test
    void addsReplacesAndRemovesItemsByName() throws InvalidConfigurationException {
        ConfigurationDocument base = SampleDocuments.full();
        ConfigurationDocument next = updated("{\"version\":9,\"upserts\":{\"routes\":[" + ROUTE_3 + ","
                + ROUTE_3.replace("r-3", "r-1").replace("/c/", "/d/")
                + "]},\"removals\":{\"routes\":[\"r-2\",\"r-old\"]}}");

        assertEquals(9, next.version());
        assertEquals(
                List.of("r-1", "r-3"), List.copyOf(next.sections().get("routes").keySet()));
        assertEquals(
                "/d/",
                next.sections().get("routes").get("r-1").get("path_prefix").getAsString());
        assertEquals(base.sections().get("services"), next.sections().get("services"));
        assertEquals(base.fields(), next.fields());
    }

    @Test
    void doesNotModifyTheBase() throws InvalidConfigurationException {
        ConfigurationDocument base = SampleDocuments.full();
        ConfigurationChecks.parseUpdate(
                base, SampleDocuments.bytes("{\"version\":9,\"removals\":{\"routes\":[\"r-1\",\"r-2\"]}}"));

        assertEquals(SampleDocuments.full(), base);
    }

    @Test
    void replacesOtherFieldsAndCompleteSections() throws InvalidConfigurationException {
        ConfigurationDocument next = updated("{\"version\":9,\"limits\":{\"max_body_bytes\":10},\"routes\":[" + ROUTE_3
                + "],\"mirrors\":[{\"name\":\"m\"}]}");

        assertEquals(10, ConfigurationChecks.toRoutingTable(next).limits().maxBodyBytes());
        assertEquals(List.of("r-3"), List.copyOf(next.sections().get("routes").keySet()));
        assertTrue(next.sections().get("mirrors").containsKey("m"));
    }

    @Test
    void retainsAnEmptySection() throws InvalidConfigurationException {
        ConfigurationDocument next = updated("{\"version\":9,\"removals\":{\"routes\":[\"r-1\",\"r-2\"]}}");

        assertTrue(next.sections().get("routes").isEmpty());
        assertTrue(SampleDocuments.json(next).contains("\"routes\":[]"));
    }

    @Test
    void addsItemsToASectionThatWasNull() throws InvalidConfigurationException {
        ConfigurationDocument base = ConfigurationChecks.parseReplacement(
                SampleDocuments.bytes("{\"version\":1,\"routes\":null,\"services\":[{\"name\":\"s-2\"}]}"));
        ConfigurationDocument next = ConfigurationChecks.parseUpdate(
                base, SampleDocuments.bytes("{\"version\":2,\"upserts\":{\"routes\":[" + ROUTE_3 + "]}}"));

        assertEquals(List.of("r-3"), List.copyOf(next.sections().get("routes").keySet()));
        assertFalse(next.fields().containsKey("routes"));
    }

    @Test
    void acceptsAnUpdateThatChangesOnlyTheVersion() throws InvalidConfigurationException {
        for (String body : List.of(
                "{\"version\":9}",
                "{\"version\":9,\"upserts\":null,\"removals\":{}}",
                "{\"version\":9,\"upserts\":{\"routes\":null},\"removals\":{\"routes\":null,\"mirrors\":[\"m\"]}}")) {
            ConfigurationDocument next = updated(body);
            assertEquals(SampleDocuments.full().sections(), next.sections());
        }
    }

    @Test
    void rejectsRemovingAServiceInUse() {
        assertEquals(
                List.of(
                        "routes/r-1.traffic_split[1].service: 's-2' is not a service of this configuration",
                        "routes/r-2.service: 's-2' is not a service of this configuration"),
                faultsOf("{\"version\":9,\"removals\":{\"services\":[\"s-2\"]}}"));
    }

    @Test
    void rejectsItemsAndNamesOfTheWrongType() {
        assertEquals(
                List.of(
                        "removals.routes: 7 is not a name",
                        "removals.services: is not a list of names",
                        "routes[0].name: is missing or no text; give each item a name",
                        "services: is not a list of items",
                        "upserts.limits: is not a list of named items in the current configuration"),
                faultsOf("{\"version\":9,\"removals\":{\"routes\":[7],\"services\":{}},"
                        + "\"upserts\":{\"routes\":[{}],\"services\":{},\"limits\":[]}}"));
    }

    @Test
    void rejectsDuplicateNames() {
        assertEquals(
                List.of("routes/r-3.name: is used twice; give each item a name of its own"),
                faultsOf("{\"version\":9,\"upserts\":{\"routes\":[" + ROUTE_3 + "," + ROUTE_3 + "]}}"));
    }

    @Test
    void rejectsThePrefixOfAnotherRoute() {
        assertEquals(
                List.of("routes/r-3.path_prefix: has the host and prefix of route 'r-1'; change one of them"),
                faultsOf("{\"version\":9,\"upserts\":{\"routes\":[" + ROUTE_3.replace("/c/", "/a/") + "]}}"));
    }

    @Test
    void acceptsThePrefixOfARemovedRoute() throws InvalidConfigurationException {
        ConfigurationDocument next = updated("{\"version\":9,\"upserts\":{\"routes\":[" + ROUTE_3.replace("/c/", "/a/")
                + "]},\"removals\":{\"routes\":[\"r-1\"]}}");

        assertEquals(
                "r-3",
                ConfigurationChecks.toRoutingTable(next)
                        .find("shop.example", "/a/x")
                        .orElseThrow()
                        .name());
    }

    @Test
    void reusesUnchangedItems() throws InvalidConfigurationException {
        ConfigurationDocument base = SampleDocuments.full();
        ConfigurationDocument next = ConfigurationChecks.parseUpdate(
                base, SampleDocuments.bytes("{\"version\":9,\"upserts\":{\"routes\":[" + ROUTE_3 + "]}}"));

        assertSame(
                base.sections().get("routes").get("r-1"),
                next.sections().get("routes").get("r-1"));
    }
}
