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
import java.util.regex.Pattern;

/** Strict parsing of JSON text, and comparison of JSON by its exact text. */
final class JsonText {
    /** The end of the parser's messages: the path of the value, and on further lines a link to its manual. */
    private static final Pattern PATH_AND_ADVICE = Pattern.compile("( path \\$|\n).*", Pattern.DOTALL);

    private JsonText() {}

    /** Text that is not one complete JSON value. Without a cause, whose message would disclose parts of the text. */
    static final class UnreadableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableException(String reason) {
            super(reason);
        }
    }

    /**
     * Parses one JSON value that is all of {@code body}. Numbers keep their text.
     *
     * @throws UnreadableException if the body is truncated, has trailing text, or is not JSON in UTF-8
     */
    static JsonElement parse(byte[] body) throws UnreadableException {
        try (JsonReader reader = new JsonReader(new StringReader(decode(body)))) {
            reader.setStrictness(Strictness.STRICT);
            JsonElement value = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new UnreadableException("something follows the JSON value");
            }
            return value;
        } catch (CharacterCodingException e) {
            throw new UnreadableException("the text is not UTF-8");
        } catch (IOException | JsonParseException e) {
            throw new UnreadableException(reason(e));
        }
    }

    /**
     * Whether two values have the same text: the same members in the same order, and numbers with the same digits.
     * Gson's own comparison considers 1 and 1.0 equal, and so two large numbers with the same {@code double} value.
     */
    static boolean isSameText(JsonElement left, JsonElement right) {
        if (left == right) {
            return true;
        }
        if (left == null || right == null || left.getClass() != right.getClass()) {
            return false;
        }
        if (left instanceof JsonObject object) {
            return isSameText(object, (JsonObject) right);
        }
        if (left instanceof JsonArray array) {
            return isSameText(array, (JsonArray) right);
        }
        if (left instanceof JsonPrimitive primitive) {
            return isSameText(primitive, (JsonPrimitive) right);
        }
        return true;
    }

    private static boolean isSameText(JsonObject left, JsonObject right) {
        if (left.size() != right.size()) {
            return false;
        }
        Iterator<Map.Entry<String, JsonElement>> others = right.entrySet().iterator();
        for (Map.Entry<String, JsonElement> member : left.entrySet()) {
            Map.Entry<String, JsonElement> other = others.next();
            if (!member.getKey().equals(other.getKey()) || !isSameText(member.getValue(), other.getValue())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSameText(JsonArray left, JsonArray right) {
        if (left.size() != right.size()) {
            return false;
        }
        for (int index = 0; index < left.size(); index++) {
            if (!isSameText(left.get(index), right.get(index))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSameText(JsonPrimitive left, JsonPrimitive right) {
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

    /**
     * What is wrong and at which line and column; without the path, which consists of member names and would disclose a
     * key that stands where a name should.
     */
    private static String reason(Exception e) {
        String message = String.valueOf(e.getMessage());
        return PATH_AND_ADVICE.matcher(message).replaceFirst("");
    }
}
