package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** No text that may appear in a log or response contains an API key, even if the key was entered in the wrong field. */
class KeySecrecyTest {
    private static final String KEY = "sk-alpha-2718";
    private static final String BODY = "{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"alpha\","
            + "\"api_keys\":[\"" + KEY + "\"]}]}";

    private static ConfigurationDocument document() throws InvalidConfigurationException {
        return ConfigurationChecks.parseReplacement(SampleDocuments.bytes(BODY));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "\"version\":4,\"removals\":{\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"sk-alpha-2718\"]}]}|"
                        + "removals.tenants: an object is not a name",
                "\"version\":4,\"removals\":{\"tenants\":[[\"sk-alpha-2718\"]]}|"
                        + "removals.tenants: a list is not a name",
                "\"version\":4,\"removals\":{\"tenants\":[null]}|removals.tenants: null is not a name",
                "\"version\":\"sk-alpha-2718\"|configuration.version: a text is not a whole number above 0",
                "\"version\":[\"sk-alpha-2718\"]|configuration.version: a list is not a whole number above 0",
                "\"version\":4,\"tenants\":[{\"api_keys\":{\"sk-alpha-2718\":}}]|"
                        + "configuration: cannot be parsed: com.google.gson.stream.MalformedJsonException: "
                        + "Expected value at line 1 column 54",
            })
    void faultsDoNotContainKeys(String fields, String fault) throws InvalidConfigurationException {
        ConfigurationDocument base = document();
        InvalidConfigurationException rejection = assertThrows(
                InvalidConfigurationException.class,
                () -> ConfigurationChecks.parseUpdate(base, SampleDocuments.bytes("{" + fields + "}")));

        assertEquals(fault, rejection.getMessage());
        assertFalse(rejection.toString().contains(KEY));
    }

    @Test
    void faultsOfTruncatedBodiesDoNotContainKeys() {
        String body = BODY.replace("[\"" + KEY + "\"]", "{\"" + KEY + "\":{\"" + KEY + "\":[1]}}");
        for (int length = 0; length < body.length(); length++) {
            List<String> faults = SampleDocuments.faultsOf(body.substring(0, length));

            assertEquals(1, faults.size());
            assertFalse(faults.get(0).contains(KEY), faults.get(0));
        }
    }

    @Test
    void printedObjectsAndDeltasDoNotContainKeys() throws InvalidConfigurationException {
        ConfigurationDocument document = document();
        ConfigurationDelta delta = ConfigurationDelta.between(ConfigurationDocument.EMPTY, document);
        SectionDifference difference =
                SectionDifference.between(Map.of(), document.sections().get("tenants"));

        assertEquals(
                "ConfigurationDelta[baseVersion=0, version=3, upserts=[routes, services, tenants], removals=[], "
                        + "fields=[]]",
                delta.toString());
        assertEquals("SectionDifference[removals=[], upserts=[alpha]]", difference.toString());
        assertFalse(ConfigurationChecks.toRoutingTable(document)
                .tenants()
                .toString()
                .contains(KEY));
    }

    @Test
    void rejectionsOfTruncatedDeltasDoNotContainKeys() throws InvalidConfigurationException {
        byte[] bytes =
                ConfigurationChecks.writeDelta(ConfigurationDelta.between(ConfigurationDocument.EMPTY, document()));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            IllegalArgumentException rejection =
                    assertThrows(IllegalArgumentException.class, () -> ConfigurationChecks.readDelta(truncated));

            assertFalse(rejection.toString().contains(KEY));
        }
    }
}
