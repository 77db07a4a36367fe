package pinewick.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Validated access to the fields of a JSON object. A null field counts as absent. */
final class JsonFields {
    private static final int MAX_TEXT_LENGTH = 200;

    private final JsonObject object;

    private JsonFields(JsonObject object) {
        this.object = object;
    }

    /**
     * Parses a body that consists of one JSON object.
     *
     * @throws InvalidFieldException for the field {@code body} if it is not a JSON object
     */
    static JsonFields parse(byte[] body) throws InvalidFieldException {
        JsonElement root;
        try {
            root = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
        } catch (JsonParseException | NumberFormatException e) {
            throw new InvalidFieldException("body", "is not JSON");
        }
        if (!root.isJsonObject()) {
            throw new InvalidFieldException("body", "is not a JSON object");
        }
        return new JsonFields(root.getAsJsonObject());
    }

    /** Returns a required string; it must not be empty. */
    String requiredText(String field) throws InvalidFieldException {
        String text = optionalText(field);
        if (text.isEmpty()) {
            throw new InvalidFieldException(field, "is missing");
        }
        return text;
    }

    /** Returns an optional string, empty if absent. */
    String optionalText(String field) throws InvalidFieldException {
        JsonElement value = find(field);
        if (value == null) {
            return "";
        }
        if (!(value instanceof JsonPrimitive primitive) || !primitive.isString()) {
            throw new InvalidFieldException(field, "is not a text");
        }
        String text = primitive.getAsString();
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new InvalidFieldException(field, "is longer than " + MAX_TEXT_LENGTH + " characters");
        }
        return text;
    }

    /** Returns a required number between {@code min} and {@code max}, truncated to an integer. */
    long requiredNumber(String field, long min, long max) throws InvalidFieldException {
        if (find(field) == null) {
            throw new InvalidFieldException(field, "is missing");
        }
        return optionalNumber(field, min, max);
    }

    /** Returns an optional number between {@code min} and {@code max}, truncated to an integer; 0 if absent. */
    long optionalNumber(String field, long min, long max) throws InvalidFieldException {
        JsonElement value = find(field);
        if (value == null) {
            return 0;
        }
        if (!(value instanceof JsonPrimitive primitive) || !primitive.isNumber()) {
            throw new InvalidFieldException(field, "is not a number");
        }
        BigDecimal number;
        try {
            number = primitive.getAsBigDecimal();
        } catch (NumberFormatException e) {
            throw new InvalidFieldException(field, "is not a number");
        }
        if (number.compareTo(BigDecimal.valueOf(min)) < 0 || number.compareTo(BigDecimal.valueOf(max)) > 0) {
            throw new InvalidFieldException(field, "is not between " + min + " and " + max);
        }
        return number.longValue();
    }

    /** Returns an optional boolean, false if absent. */
    boolean optionalFlag(String field) throws InvalidFieldException {
        JsonElement value = find(field);
        if (value == null) {
            return false;
        }
        if (!(value instanceof JsonPrimitive primitive) || !primitive.isBoolean()) {
            throw new InvalidFieldException(field, "is neither true nor false");
        }
        return primitive.getAsBoolean();
    }

    /** Returns an optional list of objects, empty if absent. */
    List<JsonFields> optionalObjects(String field) throws InvalidFieldException {
        JsonElement value = find(field);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof JsonArray list)) {
            throw new InvalidFieldException(field, "is not a list");
        }
        List<JsonFields> objects = new ArrayList<>(list.size());
        for (JsonElement item : list) {
            if (!item.isJsonObject()) {
                throw new InvalidFieldException(field, "holds something that is not an object");
            }
            objects.add(new JsonFields(item.getAsJsonObject()));
        }
        return objects;
    }

    private JsonElement find(String field) {
        JsonElement value = object.get(field);
        return value == null || value.isJsonNull() ? null : value;
    }
}
