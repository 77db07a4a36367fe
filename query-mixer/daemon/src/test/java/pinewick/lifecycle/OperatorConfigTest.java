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

/** The reader in the small jar and the schema beside it give the same verdicts. */
class OperatorConfigTest {
    private static final Path DEPLOY = Path.of("..", "..", "deploy");
    private static final String GOOD = "\"endpoints\":[\"127.0.0.1:2379\"],\"prefix\":\"/s/\"";

    private static JsonSchema schema() throws Exception {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(Files.readString(DEPLOY.resolve("operator.schema.json")));
    }

    @Test
    void theExampleIsGood() {
        OperatorConfig read = OperatorConfig.read(DEPLOY.resolve("operator-example.json"));
        assertEquals(3, read.registry().endpoints().size());
        assertEquals(0.15, read.registry().probeEvery());
    }

    @Test
    void goodFilesAreGoodToBoth() throws Exception {
        for (String text : new String[] {
            "{}",
            "{\"registry\":{" + GOOD + "}}",
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
    void badFilesAreRefusedByBothWithThePathOfEachField() throws Exception {
        Map<String, String> bad = new LinkedHashMap<>();
        bad.put("[]", "/: an object is expected");
        bad.put("{\"registri\":{}}", "/registri: unknown field");
        bad.put("{\"log\":{\"form\":\"xml\"}}", "/log/form: one of line, json");
        bad.put("{\"log\":{\"level\":\"INFO\"}}", "/log/level: one of debug, info, warning, error");
        bad.put("{\"log\":{\"file\":\"x\"}}", "/log/file: unknown field");
        bad.put("{\"log\":\"json\"}", "/log: an object is expected");
        bad.put("{\"fleet\":true}", "/fleet: an object is expected");
        bad.put("{\"fleet\":{\"view\":\"maybe\"}}", "/fleet/view: one of on, off");
        bad.put("{\"fleet\":{\"peers\":[]}}", "/fleet/peers: unknown field");
        bad.put("{\"fleet\":{\"period-s\":0}}", "/fleet/period-s: a number from 0.1 to 10");
        bad.put("{\"fleet\":{\"least-share\":1.5}}", "/fleet/least-share: a number from 0 to 1");
        bad.put("{\"registry\":5}", "/registry: an object is expected");
        bad.put("{\"registry\":{\"prefix\":\"p\"}}", "/registry/endpoints: a list of at least one");
        bad.put("{\"registry\":{\"endpoints\":[],\"prefix\":\"p\"}}", "/registry/endpoints: a list of at least one");
        bad.put(
                "{\"registry\":{\"endpoints\":[\"127.0.0.1:1\",\"etcd.example.org:2379\"],\"prefix\":\"p\"}}",
                "/registry/endpoints/1: an address and port");
        bad.put("{\"registry\":{\"endpoints\":[7],\"prefix\":\"p\"}}", "/registry/endpoints/0: an address and port");
        bad.put("{\"registry\":{\"endpoints\":[\"127.0.0.1:1\"]}}", "/registry/prefix: a text that is not empty");
        bad.put("{\"registry\":{\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"\"}}", "/registry/prefix: a text");
        bad.put("{\"registry\":{" + GOOD + ",\"page-keys\":0}}", "/registry/page-keys: a whole number from 1 to 10000");
        bad.put("{\"registry\":{" + GOOD + ",\"page-keys\":2.5}}", "/registry/page-keys: a whole number");
        bad.put(
                "{\"registry\":{" + GOOD + ",\"probe-every-s\":\"0.1\"}}",
                "/registry/probe-every-s: a number from 0.05 to 10");
        bad.put("{\"registry\":{" + GOOD + ",\"answer-s\":31}}", "/registry/answer-s: a number from 0.05 to 30");
        bad.put("{\"registry\":{" + GOOD + ",\"watch\":true}}", "/registry/watch: unknown field");
        bad.put("{\"registry\":{" + GOOD + ",\"kept\":\"\"}}", "/registry/kept: a text that is not empty");
        for (Map.Entry<String, String> each : bad.entrySet()) {
            IllegalArgumentException refused = assertThrows(
                    IllegalArgumentException.class,
                    () -> OperatorConfig.of(JsonParser.parseString(each.getKey())),
                    each.getKey());
            assertTrue(refused.getMessage().contains(each.getValue()), refused.getMessage());
            assertTrue(
                    !schema().validate(each.getKey(), InputFormat.JSON).isEmpty(), "the schema takes " + each.getKey());
        }
    }

    @Test
    void allWrongFieldsAreNamedAtOnce() {
        IllegalArgumentException refused = assertThrows(
                IllegalArgumentException.class,
                () -> OperatorConfig.of(JsonParser.parseString(
                        "{\"x\":1,\"registry\":{\"endpoints\":[\"a\"],\"prefix\":3,\"answer-s\":0}}")));
        assertEquals(4, refused.getMessage().lines().count(), refused.getMessage());
    }

    @Test
    void mixersUnderTheSearchersPrefixAreRefused() {
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> OperatorConfig.of(
                                JsonParser.parseString("{\"registry\":{" + GOOD + ",\"mixers-prefix\":\"/s/m/\"}}")))
                .getMessage()
                .contains("must not overlap"));
    }

    @Test
    void aSilenceThatIsShortBesideThePeriodIsRefusedByTheReader() {
        IllegalArgumentException wrong = assertThrows(
                IllegalArgumentException.class,
                () -> OperatorConfig.of(JsonParser.parseString("{\"fleet\":{\"period-s\":2,\"silence-s\":3}}")));
        assertTrue(wrong.getMessage().contains("/fleet/silence-s: at least four times period-s"), wrong.getMessage());
    }

    @Test
    void theViewOfTheMixersIsOnWithTheUsualTimesUnlessSaidOtherwise() {
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
