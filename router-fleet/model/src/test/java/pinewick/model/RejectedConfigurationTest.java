package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid configurations are rejected, and each fault names its item and field. */
class RejectedConfigurationTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "\"service\":\"s-2\",\"max|\"service\":\"s-9\",\"max|"
                        + "routes/r-2.service: 's-9' is not a service of this configuration",
                "\"service\":\"s-1\",\"weight\":90|\"service\":\"s-9\",\"weight\":90|"
                        + "routes/r-1.traffic_split[0].service: 's-9' is not a service of this configuration",
                "/b/|/a/|routes/r-2.path_prefix: has the host and prefix of route 'r-1'; change one of them",
                "\"timeout_ms\":3000|\"timeout_ms\":0|routes/r-2.timeout_ms: is 0; give a time above 0",
                "\"timeout_ms\":3000|\"timeout_ms\":-5|routes/r-2.timeout_ms: is -5; give a time above 0",
                "\"timeout_ms\":3000|\"timeout_ms\":null|routes/r-2.timeout_ms: is missing; give a time above 0",
                "\"timeout_ms\":3000|\"timeout_ms\":\"x\"|routes/r-2.timeout_ms: is not a supported number",
                "\"timeout_ms\":3000|\"timeout_ms\":1e999999999|routes/r-2.timeout_ms: is not a supported number",
                "/b/|/b|routes/r-2.path_prefix: '/b' does not begin and end with a slash",
                "/b/|b/|routes/r-2.path_prefix: 'b/' does not begin and end with a slash",
                "non_idempotent|sometimes|"
                        + "routes/r-2.route_kind: 'sometimes' is not one of idempotent, non_idempotent, streaming",
                "\"name\":\"r-2\"|\"name\":\"r-1\"|routes/r-1.name: is used twice; give each item a name of its own",
                "\"name\":\"s-2\"|\"name\":\"s-1\"|services/s-1.name: is used twice; give each item a name of its own",
                "\"name\":\"r-2\"|\"name\":7|routes[1].name: is missing or no text; give each item a name",
                "\"version\":7|\"version\":0|configuration.version: 0 is not a whole number above 0",
                "\"version\":7|\"version\":-7|configuration.version: -7 is not a whole number above 0",
                "\"version\":7|\"version\":7.5|configuration.version: 7.5 is not a whole number above 0",
                "\"version\":7|\"version\":\"7\"|configuration.version: \"7\" is not a whole number above 0",
                "\"version\":7|\"version\":99999999999999999999|"
                        + "configuration.version: 99999999999999999999 is not a whole number above 0",
                "\"version\":7,|\"edition\":7,|configuration.version: is missing; give a whole number above 0",
                "\"services\":|\"servers\":|configuration.services: is missing; give a list, which may be empty",
                "\"max_connections\":110|\"max_connections\":true|"
                        + "services/s-2.max_connections: is not a supported number",
                "\"slots\":24|\"slots\":[]|services/s-1.engine.slots: is not a supported number",
                "\"max_body_bytes\":4194304|\"max_body_bytes\":\"4M\"|"
                        + "limits.max_body_bytes: is not a supported number",
            })
    void reportsTheItemTheFieldAndTheCorrection(String original, String replacement, String fault) {
        String body = SampleDocuments.FULL.replace(original, replacement);

        assertFalse(body.equals(SampleDocuments.FULL), "the replacement changes nothing");
        assertEquals(fault, SampleDocuments.faultsOf(body).get(0));
    }

    @Test
    void rejectsADuplicateHostInADifferentCase() {
        String body = SampleDocuments.FULL.replace("/b/", "/a/").replaceFirst("shop.example", "SHOP.example");

        assertEquals(
                List.of("routes/r-2.path_prefix: has the host and prefix of route 'r-1'; change one of them"),
                SampleDocuments.faultsOf(body));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "-90, 100", "0, -10", "null, 10", "'\"90\"', 10"})
    void rejectsInvalidWeights(String first, String second) {
        String body = SampleDocuments.FULL
                .replace("\"weight\":90", "\"weight\":" + first)
                .replace("\"weight\":10", "\"weight\":" + second);

        assertFalse(SampleDocuments.faultsOf(body).isEmpty());
    }

    @Test
    void rejectsARouteWithoutAnyService() {
        String body = SampleDocuments.FULL.replace("\"service\":\"s-2\",\"max", "\"max");

        assertEquals(
                List.of("routes/r-2.service: is missing, and so is traffic_split; name a service"),
                SampleDocuments.faultsOf(body));
    }

    @Test
    void reportsEveryErrorAtOnce() {
        String body = SampleDocuments.FULL
                .replace("\"version\":7", "\"version\":0")
                .replace("\"timeout_ms\":5000", "\"timeout_ms\":0")
                .replace("\"service\":\"s-2\",\"max", "\"service\":\"s-9\",\"max")
                .replace("/b/", "b");

        assertEquals(
                List.of(
                        "configuration.version: 0 is not a whole number above 0",
                        "routes/r-1.timeout_ms: is 0; give a time above 0",
                        "routes/r-2.path_prefix: 'b' does not begin and end with a slash",
                        "routes/r-2.service: 's-9' is not a service of this configuration"),
                SampleDocuments.faultsOf(body));
    }

    @Test
    void rejectsEveryTruncatedBody() {
        byte[] complete = SampleDocuments.bytes(SampleDocuments.FULL);
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(
                    InvalidConfigurationException.class,
                    () -> ConfigurationChecks.parseReplacement(truncated),
                    "truncated after " + truncated.length + " bytes");
        }
        assertDoesNotThrow(() -> ConfigurationChecks.parseReplacement(complete));
    }

    @ParameterizedTest
    @ValueSource(strings = {"}", "x", "{}", "[", ",", "\u0000", "// done", "null"})
    void rejectsTrailingData(String trailingData) {
        assertEquals(
                1, SampleDocuments.faultsOf(SampleDocuments.FULL + trailingData).size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "null",
                "7",
                "[]",
                "\"{}\"",
                "{'version':1,'routes':[],'services':[]}",
                "{version:1,\"routes\":[],\"services\":[]}",
                "{\"version\":1;\"routes\":[],\"services\":[]}",
                "{\"version\":1,\"routes\":[],\"services\":[],}",
                "{\"version\":1,\"routes\":[,],\"services\":[]}",
                "{\"version\":1,\"routes\":[],\"services\":[],\"x\":NaN}",
                "{\"version\":1,\"routes\":[],\"services\":[],\"x\":TRUE}",
                "{\"version\":1,/* */\"routes\":[],\"services\":[]}",
                "{\"version\":01,\"routes\":[],\"services\":[]}"
            })
    void rejectsBodiesThatAreNotStrictJson(String body) {
        assertEquals(1, SampleDocuments.faultsOf(body).size());
    }

    @Test
    void rejectsBytesThatAreNotUtf8() {
        byte[] body = SampleDocuments.bytes(SampleDocuments.FULL.replace("/health", "/h\u00e9"));
        byte[] bodyWithTruncatedCharacter = Arrays.copyOf(body, body.length);
        for (int index = 0; index < body.length; index++) {
            if (body[index] == (byte) 0xC3) {
                bodyWithTruncatedCharacter[index + 1] = '"';
            }
        }

        InvalidConfigurationException rejection = assertThrows(
                InvalidConfigurationException.class,
                () -> ConfigurationChecks.parseReplacement(bodyWithTruncatedCharacter));
        assertEquals("configuration: cannot be parsed: the text is not UTF-8", rejection.getMessage());
    }

    @Test
    void rejectsUnboundedNesting() {
        String deeplyNested = "[".repeat(100_000);

        assertEquals(
                1,
                SampleDocuments.faultsOf("{\"version\":1,\"x\":" + deeplyNested).size());
    }

    @Test
    void rejectsAVersionThatIsNotHigher() throws InvalidConfigurationException {
        ConfigurationDocument document = SampleDocuments.full();

        ConfigurationChecks.requireNewer(document, 6);
        InvalidConfigurationException rejection =
                assertThrows(InvalidConfigurationException.class, () -> ConfigurationChecks.requireNewer(document, 7));
        assertEquals("configuration.version: 7 is not higher than the current version 7", rejection.getMessage());
    }
}
