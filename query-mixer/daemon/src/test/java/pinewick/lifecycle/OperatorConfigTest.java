package pinewick.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import com.networknt.schema.InputFormat;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that the parser, which ships without a schema library, and the JSON schema accept the same files. */
class OperatorConfigTest {
    private static final Path DEPLOY_DIRECTORY = Path.of("..", "..", "deploy");
    private static final String VALID_REGISTRY_FIELDS = "\"endpoints\":[\"127.0.0.1:2379\"],\"prefix\":\"/s/\"";

    private static JsonSchema schema() throws Exception {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(Files.readString(DEPLOY_DIRECTORY.resolve("operator.schema.json")));
    }

    @Test
    void readsTheExample() {
        OperatorConfig config = OperatorConfig.read(DEPLOY_DIRECTORY.resolve("operator-example.json"));
        assertEquals(3, config.registry().endpoints().size());
        assertEquals(0.15, config.registry().probeEvery());
    }

    @Test
    void parserAndSchemaAcceptValidFiles() throws Exception {
        for (String text : new String[] {
            "{}",
            "{\"registry\":{" + VALID_REGISTRY_FIELDS + "}}",
            "{\"fleet\":{}}",
            "{\"fleet\":{\"view\":\"off\"}}",
            "{\"fleet\":{\"period-s\":1,\"silence-s\":5}}",
            "{\"registry\":{\"endpoints\":[\"[::1]:2379\"],\"prefix\":\"p\",\"page-keys\":1,"
                    + "\"answer-s\":0.05,\"kept\":\"/x\"}}"
        }) {
            OperatorConfig.of(JsonParser.parseString(text));
            assertTrue(schema().validate(text, InputFormat.JSON).isEmpty(), text);
        }
    }

    @Test
    void parserAndSchemaRejectInvalidFilesAndTheParserNamesThePath() throws Exception {
        Map<String, String> invalid = new LinkedHashMap<>();
        invalid.put("[]", "/: an object is expected");
        invalid.put("{\"registri\":{}}", "/registri: unknown field");
        invalid.put("{\"log\":{\"form\":\"xml\"}}", "/log/form: one of line, json");
        invalid.put("{\"log\":{\"level\":\"INFO\"}}", "/log/level: one of debug, info, warning, error");
        invalid.put("{\"log\":{\"file\":\"x\"}}", "/log/file: unknown field");
        invalid.put("{\"log\":\"json\"}", "/log: an object is expected");
        invalid.put("{\"fleet\":true}", "/fleet: an object is expected");
        invalid.put("{\"fleet\":{\"view\":\"maybe\"}}", "/fleet/view: one of on, off");
        invalid.put("{\"fleet\":{\"peers\":[]}}", "/fleet/peers: unknown field");
        invalid.put("{\"fleet\":{\"period-s\":0}}", "/fleet/period-s: a number from 0.1 to 10");
        invalid.put("{\"fleet\":{\"least-share\":1.5}}", "/fleet/least-share: a number from 0 to 1");
        invalid.put("{\"registry\":5}", "/registry: an object is expected");
        invalid.put("{\"registry\":{\"prefix\":\"p\"}}", "/registry/endpoints: a list of at least one");
        invalid.put(
                "{\"registry\":{\"endpoints\":[],\"prefix\":\"p\"}}", "/registry/endpoints: a list of at least one");
        invalid.put(
                "{\"registry\":{\"endpoints\":[\"127.0.0.1:1\",\"etcd.example.org:2379\"],\"prefix\":\"p\"}}",
                "/registry/endpoints/1: an address and port");
        invalid.put(
                "{\"registry\":{\"endpoints\":[7],\"prefix\":\"p\"}}", "/registry/endpoints/0: an address and port");
        invalid.put("{\"registry\":{\"endpoints\":[\"127.0.0.1:1\"]}}", "/registry/prefix: a text that is not empty");
        invalid.put("{\"registry\":{\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"\"}}", "/registry/prefix: a text");
        invalid.put(
                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"page-keys\":0}}",
                "/registry/page-keys: a whole number from 1 to 10000");
        invalid.put(
                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"page-keys\":2.5}}",
                "/registry/page-keys: a whole number");
        invalid.put(
                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"probe-every-s\":\"0.1\"}}",
                "/registry/probe-every-s: a number from 0.05 to 10");
        invalid.put(
                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"answer-s\":31}}",
                "/registry/answer-s: a number from 0.05 to 30");
        invalid.put("{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"watch\":true}}", "/registry/watch: unknown field");
        invalid.put(
                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"kept\":\"\"}}",
                "/registry/kept: a text that is not empty");
        for (Map.Entry<String, String> each : invalid.entrySet()) {
            IllegalArgumentException rejection = assertThrows(
                    IllegalArgumentException.class,
                    () -> OperatorConfig.of(JsonParser.parseString(each.getKey())),
                    each.getKey());
            assertTrue(rejection.getMessage().contains(each.getValue()), rejection.getMessage());
            assertTrue(
                    !schema().validate(each.getKey(), InputFormat.JSON).isEmpty(),
                    "accepted by the schema: " + each.getKey());
        }
    }

    @Test
    void reportsAllInvalidFieldsAtOnce() {
        IllegalArgumentException rejection = assertThrows(
                IllegalArgumentException.class,
                () -> OperatorConfig.of(JsonParser.parseString(
                        "{\"x\":1,\"registry\":{\"endpoints\":[\"a\"],\"prefix\":3,\"answer-s\":0}}")));
        assertEquals(4, rejection.getMessage().lines().count(), rejection.getMessage());
    }

    @Test
    void rejectsARoutersPrefixUnderTheReplicasPrefix() {
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> OperatorConfig.of(JsonParser.parseString(
                                "{\"registry\":{" + VALID_REGISTRY_FIELDS + ",\"mixers-prefix\":\"/s/m/\"}}")))
                .getMessage()
                .contains("must not overlap"));
    }

    @Test
    void parserRejectsASilenceTooShortForThePeriod() {
        IllegalArgumentException rejection = assertThrows(
                IllegalArgumentException.class,
                () -> OperatorConfig.of(JsonParser.parseString("{\"fleet\":{\"period-s\":2,\"silence-s\":3}}")));
        assertTrue(
                rejection.getMessage().contains("/fleet/silence-s: at least four times period-s"),
                rejection.getMessage());
    }

    @Test
    void membershipIsOnWithDefaultsUnlessConfigured() {
        assertEquals(
                pinewick.fleet.MembershipSettings.defaults(),
                OperatorConfig.of(JsonParser.parseString("{}")).membership());
        assertEquals(
                null,
                OperatorConfig.of(JsonParser.parseString("{\"fleet\":{\"view\":\"off\"}}"))
                        .membership());
        assertEquals(
                5,
                OperatorConfig.of(JsonParser.parseString("{\"fleet\":{\"silence-s\":5}}"))
                        .membership()
                        .minSilenceSeconds());
    }
}
