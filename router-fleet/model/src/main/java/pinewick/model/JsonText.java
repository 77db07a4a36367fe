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
    /** The end of the parser's messages: the path of the value, and on the following lines a link to its manual. */
    private static final Pattern PATH_AND_ADVICE = Pattern.compile("( path \\$|\n).*", Pattern.DOTALL);

    private JsonText() {}

    /** The text is not one complete JSON value. Has no cause: its message would disclose parts of the text. */
    static final class UnreadableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableException(String reason) {
            super(reason);
        }
    }

    /**
     * Parses {@code body} as exactly one JSON value. Numbers keep their text.
     *
     * @throws UnreadableException if the body is truncated, has trailing text, or is not valid JSON in UTF-8
     */
    static JsonElement parse(byte[] body) throws UnreadableException {
        try (JsonReader reader = new JsonReader(new StringReader(decode(body)))) {
            reader.setStrictness(Strictness.STRICT);
            JsonElement value = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new UnreadableException("unexpected data after the JSON value");
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
     * Gson's own comparison treats 1 and 1.0 as equal, and likewise two large numbers with the same {@code double}
     * value.
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
        Iterator<Map.Entry<String, JsonElement>> rightMembers = right.entrySet().iterator();
        for (Map.Entry<String, JsonElement> leftMember : left.entrySet()) {
            Map.Entry<String, JsonElement> rightMember = rightMembers.next();
            if (!leftMember.getKey().equals(rightMember.getKey())
                    || !isSameText(leftMember.getValue(), rightMember.getValue())) {
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
     * The parser's message with line and column, but without the path: the path consists of member names, and would
     * disclose a key that was entered in place of a member name.
     */
    private static String reason(Exception e) {
        String message = String.valueOf(e.getMessage());
        return PATH_AND_ADVICE.matcher(message).replaceFirst("");
    }
}
