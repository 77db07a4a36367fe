package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

/** Strict reading of JSON text, and comparison of JSON to the letter. */
final class JsonText {
    private JsonText() {}

    /** Text that is not one whole JSON value. */
    static final class UnreadableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableException(String reason, Throwable cause) {
            super(reason, cause);
        }
    }

    /**
     * Reads one JSON value that takes up all of {@code body}. Numbers keep their text.
     *
     * @throws UnreadableException if the body is cut off, is followed by more, or is not JSON in UTF-8
     */
    static JsonElement parse(byte[] body) throws UnreadableException {
        try (JsonReader reader = new JsonReader(new StringReader(decode(body)))) {
            reader.setStrictness(Strictness.STRICT);
            JsonElement value = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new UnreadableException("something follows the JSON value", null);
            }
            return value;
        } catch (CharacterCodingException e) {
            throw new UnreadableException("the text is not UTF-8", e);
        } catch (IOException | JsonParseException e) {
            throw new UnreadableException(firstLine(e), e);
        }
    }

    /**
     * Whether two values are written alike: the same members in the same order, and numbers with the same text.
     * Gson's own comparison takes 1 and 1.0, or two large numbers that a {@code double} can't tell apart, for equal.
     */
    static boolean alike(JsonElement left, JsonElement right) {
        if (left == right) {
            return true;
        }
        if (left == null || right == null || left.getClass() != right.getClass()) {
            return false;
        }
        if (left instanceof JsonObject object) {
            return alike(object, (JsonObject) right);
        }
        if (left instanceof JsonArray array) {
            return alike(array, (JsonArray) right);
        }
        if (left instanceof JsonPrimitive primitive) {
            return alike(primitive, (JsonPrimitive) right);
        }
        return true;
    }

    private static boolean alike(JsonObject left, JsonObject right) {
        if (left.size() != right.size()) {
            return false;
        }
        Iterator<Map.Entry<String, JsonElement>> others = right.entrySet().iterator();
        for (Map.Entry<String, JsonElement> member : left.entrySet()) {
            Map.Entry<String, JsonElement> other = others.next();
            if (!member.getKey().equals(other.getKey()) || !alike(member.getValue(), other.getValue())) {
                return false;
            }
        }
        return true;
    }

    private static boolean alike(JsonArray left, JsonArray right) {
        if (left.size() != right.size()) {
            return false;
        }
        for (int index = 0; index < left.size(); index++) {
            if (!alike(left.get(index), right.get(index))) {
                return false;
            }
        }
        return true;
    }

    private static boolean alike(JsonPrimitive left, JsonPrimitive right) {
        return left.isString() == right.isString()
                && left.isBoolean() == right.isBoolean()
                && left.getAsString().equals(right.getAsString());
    }

    private static String decode(byte[] body) throws CharacterCodingException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
                .decode(ByteBuffer.wrap(body))
                .toString();
    }

    private static String firstLine(Exception e) {
        String message = String.valueOf(e.getMessage());
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
