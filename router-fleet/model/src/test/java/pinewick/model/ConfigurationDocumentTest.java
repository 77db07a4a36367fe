package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationDocumentTest {
    private static ConfigurationDocument withExtra(String value) throws InvalidConfigurationException {
        String body = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"x\":VALUE}],\"x\":VALUE}";
        return ConfigurationChecks.parseReplacement(SampleDocuments.bytes(body.replace("VALUE", value)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "1|1.0",
                "1|1e0",
                "1|\"1\"",
                "9007199254740992|9007199254740993",
                "0.10|0.1",
                "true|\"true\"",
                "null|{}",
                "[1,2]|[2,1]",
                "{\"a\":1,\"b\":2}|{\"b\":2,\"a\":1}",
                "[]|[null]",
            })
    void distinguishesValuesWithDifferentText(String left, String right) throws InvalidConfigurationException {
        assertNotEquals(withExtra(left), withExtra(right));
        assertEquals(withExtra(left), withExtra(left));
        assertEquals(withExtra(left).hashCode(), withExtra(left).hashCode());
    }

    @Test
    void comparesTheOrderOfItemsButNotOfSections() throws InvalidConfigurationException {
        ConfigurationDocument original = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(
                "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}]}"));
        ConfigurationDocument withReorderedSections = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(
                "{\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"routes\":[],\"version\":1}"));
        ConfigurationDocument withReorderedItems = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(
                "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"t\"},{\"name\":\"s\"}]}"));

        assertEquals(original, withReorderedSections);
        assertNotEquals(original, withReorderedItems);
    }
}
