package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Unusual but valid configurations are accepted. */
class AcceptedConfigurationTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "\"version\":7|\"version\":7.0",
                "\"version\":7|\"version\":9007199254740993",
                "\"protocol\":\"h1\"|\"protocol\":{\"kind\":\"h9\"}",
                "\"tls\":false|\"tls\":null",
                "\"limits\":|\"bounds\":",
                "\"weight\":90|\"weight\":0",
                "\"priority\":1|\"priority\":-1",
                "\"max_attempts\":1|\"max_attempts\":0",
                "\"timeout_ms\":3000|\"timeout_ms\":2999.5",
                "\"timeout_ms\":3000|\"timeout_ms\":3e3",
                "\"timeout_ms\":3000|\"timeout_ms\":99999999999",
                "\"target_latency_ms\":500,|~~",
                "\"max_connections\":110|\"weight\":110",
                "\"engine\":{|\"engine\":null,\"motor\":{",
                "\"service\":\"s-2\",\"max|\"service\":\"s-2\",\"traffic_split\":[],\"max",
                "\"service\":\"s-2\",\"max|\"service\":\"s-2\",\"traffic_split\":null,\"max",
                "\"traffic_split\":|\"service\":null,\"traffic_split\":",
                "\"traffic_split\":|\"service\":\"\",\"traffic_split\":",
                "\"limits\":{|\"regions\":[1,2],\"limits\":{",
                "\"limits\":{|\"regions\":[{\"name\":\"a\"},{\"name\":\"a\"}],\"limits\":{",
                "\"limits\":{|\"regions\":[{\"name\":\"a\"},{\"title\":\"a\"}],\"limits\":{",
                "\"limits\":{|\"regions\":[],\"limits\":{",
                "/b/|/a/b/",
                "/b/|/",
            })
    void acceptsUnusualButValidConfigurations(String original, String replacement)
            throws InvalidConfigurationException {
        String body = SampleDocuments.FULL.replace(original, replacement).replace("\n", "");

        assertEquals(List.of(), SampleDocuments.faultsOf(body));
        ConfigurationDocument document = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(body));
        ConfigurationChecks.toRoutingTable(document);
        assertEquals(document, ConfigurationChecks.parseReplacement(ConfigurationChecks.toJson(document)));
    }

    @Test
    void acceptsAnEmptyConfiguration() {
        assertEquals(List.of(), SampleDocuments.faultsOf("{\"version\":1,\"routes\":[],\"services\":[]}"));
        assertEquals(List.of(), SampleDocuments.faultsOf(" {\"services\":[],\r\n\t\"routes\":null,\"version\":1} \n"));
    }

    @Test
    void clampsNumbersToTheirRange() throws InvalidConfigurationException {
        String body = SampleDocuments.FULL
                .replace("\"timeout_ms\":3000", "\"timeout_ms\":99999999999")
                .replace("\"max_attempts\":1", "\"max_attempts\":0")
                .replace("\"timeout_ms\":5000", "\"timeout_ms\":0.25");
        RoutingTable table =
                ConfigurationChecks.toRoutingTable(ConfigurationChecks.parseReplacement(SampleDocuments.bytes(body)));

        assertEquals(
                Integer.MAX_VALUE,
                table.find("shop.example", "/b/").orElseThrow().timeoutMs());
        assertEquals(1, table.find("shop.example", "/b/").orElseThrow().maxAttempts());
        assertEquals(1, table.find("shop.example", "/a/").orElseThrow().timeoutMs());
    }

    @Test
    void scalesFractionalWeights() throws InvalidConfigurationException {
        String body = SampleDocuments.FULL
                .replace("\"weight\":90", "\"weight\":0.75")
                .replace("\"weight\":10", "\"weight\":0.25");
        RoutingTable table =
                ConfigurationChecks.toRoutingTable(ConfigurationChecks.parseReplacement(SampleDocuments.bytes(body)));

        assertEquals(
                List.of(new Route.WeightedService("s-1", 750_000), new Route.WeightedService("s-2", 250_000)),
                table.find("shop.example", "/a/").orElseThrow().split());
    }
}
