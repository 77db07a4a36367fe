package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Converts request bodies into documents: sections, fields and version. The contents of items and fields are not
 * validated here.
 */
final class DocumentReader {
    private static final String VERSION = "version";
    private static final String UPSERTS = "upserts";
    private static final String REMOVALS = "removals";
    /** Sections that a full configuration must have. */
    private static final List<String> REQUIRED_SECTIONS =
            List.of(RoutingTableBuilder.ROUTES, RoutingTableBuilder.SERVICES);
    /** Sections whose items always need a unique name. */
    private static final Set<String> KNOWN_SECTIONS =
            Set.of(RoutingTableBuilder.ROUTES, RoutingTableBuilder.SERVICES, RoutingTableBuilder.TENANTS);

    /** A version that was put in quotes by mistake. */
    private static final Pattern QUOTED_NUMBER = Pattern.compile("-?[0-9]{1,19}");

    private final FaultList faults;

    DocumentReader(FaultList faults) {
        this.faults = faults;
    }

    /** Reads a full configuration. */
    ConfigurationDocument readDocument(JsonObject body) {
        Map<String, Map<String, JsonObject>> sections = new LinkedHashMap<>();
        Map<String, JsonElement> fields = new LinkedHashMap<>();
        body.entrySet().forEach(entry -> readTopLevel(entry.getKey(), entry.getValue(), sections, fields));
        for (String section : REQUIRED_SECTIONS) {
            if (!body.has(section)) {
                faults.add(FaultList.DOCUMENT, section, "is missing; give a list, which may be empty");
            }
        }
        return new ConfigurationDocument(readVersion(body), sections, fields);
    }

    /** Reads an update and applies it to {@code base}. */
    ConfigurationDocument readChanges(ConfigurationDocument base, JsonObject body) {
        Map<String, Map<String, JsonObject>> sections = new LinkedHashMap<>();
        base.sections().forEach((section, items) -> sections.put(section, new LinkedHashMap<>(items)));
        Map<String, JsonElement> fields = new LinkedHashMap<>(base.fields());
        changes(REMOVALS, body).forEach((section, names) -> remove(section, names, sections));
        changes(UPSERTS, body).forEach((section, items) -> upsert(section, items, sections, fields));
        for (Map.Entry<String, JsonElement> entry : body.entrySet()) {
            if (!entry.getKey().equals(UPSERTS) && !entry.getKey().equals(REMOVALS)) {
                readTopLevel(entry.getKey(), entry.getValue(), sections, fields);
            }
        }
        return new ConfigurationDocument(readVersion(body), sections, fields);
    }

    private long readVersion(JsonObject body) {
        if (!body.has(VERSION)) {
            faults.add(FaultList.DOCUMENT, VERSION, "is missing; give a whole number above 0");
            return 0;
        }
        try {
            Optional<BigDecimal> number = ItemFields.toNumber(body.get(VERSION));
            if (number.isPresent() && number.get().signum() > 0) {
                return number.get().longValueExact();
            }
        } catch (ArithmeticException e) {
            // Reported below: the number has a fraction or is too large.
        }
        faults.add(FaultList.DOCUMENT, VERSION, describe(body.get(VERSION)) + " is not a whole number above 0");
        return 0;
    }

    private void readTopLevel(
            String name,
            JsonElement value,
            Map<String, Map<String, JsonObject>> sections,
            Map<String, JsonElement> fields) {
        if (name.equals(VERSION)) {
            return;
        }
        sections.remove(name);
        fields.remove(name);
        if (value.isJsonNull()) {
            fields.put(name, value);
        } else if (KNOWN_SECTIONS.contains(name) || isListOfNamedItems(value)) {
            sections.put(name, readItems(name, value));
        } else {
            fields.put(name, value);
        }
    }

    /** Whether a list that is unknown to this release consists of items with unique names, and can be a section. */
    private static boolean isListOfNamedItems(JsonElement value) {
        if (!(value instanceof JsonArray list)) {
            return false;
        }
        Map<String, JsonElement> names = new LinkedHashMap<>();
        for (JsonElement item : list) {
            Optional<String> name = nameOf(item);
            if (name.isEmpty() || names.put(name.get(), item) != null) {
                return false;
            }
        }
        return true;
    }

    private Map<String, JsonObject> readItems(String section, JsonElement value) {
        Map<String, JsonObject> items = new LinkedHashMap<>();
        if (!(value instanceof JsonArray list)) {
            faults.add(section, "", "is not a list of items");
            return items;
        }
        int index = 0;
        for (JsonElement item : list) {
            String position = section + "[" + index++ + "]";
            Optional<String> name = nameOf(item);
            if (name.isEmpty()) {
                faults.add(position, "name", "is missing or no text; give each item a name");
            } else if (items.put(name.get(), (JsonObject) item) != null) {
                faults.add(section + "/" + name.get(), "name", "is used twice; give each item a name of its own");
            }
        }
        return items;
    }

    private Map<String, JsonElement> changes(String field, JsonObject body) {
        Map<String, JsonElement> changes = new LinkedHashMap<>();
        JsonElement value = body.get(field);
        if (value instanceof JsonObject object) {
            object.entrySet().forEach(entry -> changes.put(entry.getKey(), entry.getValue()));
        } else if (value != null && !value.isJsonNull()) {
            faults.add(FaultList.DOCUMENT, field, "is not an object with one list per section");
        }
        return changes;
    }

    private void remove(String section, JsonElement names, Map<String, Map<String, JsonObject>> sections) {
        if (names.isJsonNull()) {
            return;
        }
        if (!(names instanceof JsonArray list)) {
            faults.add(REMOVALS, section, "is not a list of names");
            return;
        }
        for (JsonElement name : list) {
            if (!(name instanceof JsonPrimitive text) || !text.isString()) {
                faults.add(REMOVALS, section, describe(name) + " is not a name");
            } else if (sections.containsKey(section)) {
                sections.get(section).remove(text.getAsString());
            }
        }
    }

    private void upsert(
            String section,
            JsonElement items,
            Map<String, Map<String, JsonObject>> sections,
            Map<String, JsonElement> fields) {
        if (items.isJsonNull()) {
            return;
        }
        if (fields.getOrDefault(section, JsonNull.INSTANCE).isJsonNull()) {
            fields.remove(section);
        } else {
            faults.add(UPSERTS, section, "is not a list of named items in the current configuration");
            return;
        }
        Map<String, JsonObject> changedItems = readItems(section, items);
        sections.computeIfAbsent(section, key -> new LinkedHashMap<>()).putAll(changedItems);
    }

    /** Describes a value of the wrong type for a fault: in full only if it cannot contain a key. */
    private static String describe(JsonElement value) {
        if (value instanceof JsonObject) {
            return "an object";
        }
        if (value instanceof JsonArray) {
            return "a list";
        }
        boolean isOtherText = value instanceof JsonPrimitive primitive
                && primitive.isString()
                && !QUOTED_NUMBER.matcher(primitive.getAsString()).matches();
        return isOtherText ? "a text" : value.toString();
    }

    private static Optional<String> nameOf(JsonElement item) {
        if (item instanceof JsonObject object
                && object.get("name") instanceof JsonPrimitive name
                && name.isString()
                && !name.getAsString().isEmpty()) {
            return Optional.of(name.getAsString());
        }
        return Optional.empty();
    }
}
