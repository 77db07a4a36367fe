package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Random documents with few different names and values, so that two documents often share items or similar values. */
final class GeneratedDocuments {
    private static final int MAX_ITEMS = 6;
    private static final List<String> VALUES = List.of(
            "1",
            "1.0",
            "1e0",
            "9007199254740992",
            "9007199254740993",
            "0.1",
            "-0",
            "null",
            "true",
            "\"1\"",
            "\"\u00e9\\u2028\\\"\"",
            "[1,1.0]",
            "[]",
            "{}",
            "{\"a\":1,\"b\":2}",
            "{\"b\":2,\"a\":1}");

    private GeneratedDocuments() {}

    /** Documents of version {@code version} with any sections. */
    static Arbitrary<ConfigurationDocument> ofVersion(long version) {
        Arbitrary<Map<String, Map<String, JsonObject>>> sections =
                Arbitraries.maps(Arbitraries.of("routes", "services", "tenants", "mirrors"), items());
        Arbitrary<Map<String, JsonElement>> fields = Arbitraries.maps(Arbitraries.of("limits", "notes"), values());
        return Combinators.combine(sections, fields)
                .as((generatedSections, otherFields) ->
                        new ConfigurationDocument(version, generatedSections, otherFields));
    }

    private static Arbitrary<JsonElement> values() {
        return Arbitraries.of(VALUES).map(GeneratedDocuments::parse);
    }

    private static Arbitrary<Map<String, JsonObject>> items() {
        Arbitrary<List<String>> names = Arbitraries.of("a", "b", "c", "d", "e", "f")
                .list()
                .uniqueElements()
                .ofMaxSize(MAX_ITEMS);
        return names.flatMap(chosenNames -> Arbitraries.of(VALUES)
                .list()
                .ofSize(chosenNames.size())
                .map(values -> {
                    Map<String, JsonObject> items = new LinkedHashMap<>();
                    for (int index = 0; index < chosenNames.size(); index++) {
                        JsonObject item = new JsonObject();
                        item.addProperty("name", chosenNames.get(index));
                        item.add("value", parse(values.get(index)));
                        items.put(chosenNames.get(index), item);
                    }
                    return items;
                }));
    }

    private static JsonElement parse(String text) {
        try {
            return JsonText.parse(SampleDocuments.bytes(text));
        } catch (JsonText.UnreadableException e) {
            throw new IllegalStateException(e);
        }
    }
}
