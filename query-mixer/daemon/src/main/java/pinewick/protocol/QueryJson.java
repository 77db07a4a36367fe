package pinewick.protocol;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import pinewick.state.OpenQuery;

/**
 * The JSON of queries and their responses; of a query only the fields that the scheduler and the replicas need are
 * read.
 */
public final class QueryJson {
    /** Rounding error allowed per weight. */
    private static final double WEIGHT_TOLERANCE = 1e-3;

    private QueryJson() {}

    /**
     * Reads the parts and the text of a query into {@code into}; throws IllegalArgumentException if the body is
     * malformed.
     */
    public static void read(byte[] body, OpenQuery into, int shards) {
        boolean hasParts = false;
        boolean hasText = false;
        try (JsonReader in = new JsonReader(new InputStreamReader(
                new ByteArrayInputStream(body),
                StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)))) {
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "slices" -> {
                        rejectIf(hasParts, "json: slices twice");
                        hasParts = true;
                        in.beginArray();
                        while (in.hasNext()) {
                            readPart(in, into, shards);
                        }
                        in.endArray();
                    }
                    case "filter" -> {
                        rejectIf(hasText || in.peek() != JsonToken.STRING, "json: filter twice or no string");
                        hasText = true;
                        into.filter = in.nextString().getBytes(StandardCharsets.UTF_8);
                    }
                    default -> in.skipValue();
                }
            }
            in.endObject();
            rejectIf(in.peek() != JsonToken.END_DOCUMENT, "json: text after the object");
        } catch (CharacterCodingException malformed) {
            throw new IllegalArgumentException("json: not UTF-8");
        } catch (IOException | IllegalStateException malformed) {
            throw new IllegalArgumentException("json: not in the form: " + malformed.getMessage());
        }
        rejectIf(into.shardRequests.isEmpty(), "json: no slices");
        rejectIf(!hasText, "json: no filter");
        double sum = into.shardRequests.values().stream()
                .mapToDouble(shardRequest -> shardRequest.weight)
                .sum();
        // Each weight is a rounded decimal fraction; some clients send few digits.
        rejectIf(
                Math.abs(sum - 1) > WEIGHT_TOLERANCE * Math.max(4, into.shardRequests.size()),
                "weight: the sum is " + sum);
    }

    private static void readPart(JsonReader in, OpenQuery into, int shards) throws IOException {
        int shard = -1;
        double mass = Double.NaN;
        int fieldsSeen = 0;
        in.beginObject();
        while (in.hasNext()) {
            switch (in.nextName()) {
                case "slice" -> {
                    rejectIf(in.peek() != JsonToken.NUMBER || (fieldsSeen & 1) > 0, "shard: no number, or twice");
                    fieldsSeen |= 1;
                    String number = in.nextString();
                    rejectIf(!number.matches("[0-9]{1,9}"), "shard: " + number);
                    shard = Integer.parseInt(number);
                }
                case "mass" -> {
                    rejectIf(in.peek() != JsonToken.NUMBER || (fieldsSeen & 2) > 0, "weight: no number, or twice");
                    fieldsSeen |= 2;
                    mass = in.nextDouble();
                }
                case "micros" -> into.workHint += in.nextDouble() / 1e6;
                default -> in.skipValue();
            }
        }
        in.endObject();
        rejectIf(shard < 0 || shard >= shards, "shard: unknown " + shard);
        rejectIf(!(mass > 0 && mass <= 1), "weight: of slice " + shard + " is missing or not within 0 and 1");
        rejectIf(!into.addShardRequest(shard, mass), "shard: " + shard + " twice");
    }

    private static void rejectIf(boolean invalid, String message) {
        if (invalid) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Whether the value of a replica can be put into a response: not empty, valid UTF-8 and without control characters,
     * so that every client can parse it.
     */
    static boolean isValidValue(byte[] value) {
        for (byte one : value) {
            if (one >= 0 && one < 0x20) {
                return false;
            }
        }
        try {
            return value.length > 0
                    && StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(value))
                            .hasRemaining();
        } catch (CharacterCodingException malformed) {
            return false;
        }
    }

    /** Encodes the response body: each value that was received, byte for byte. */
    public static byte[] encodeResponse(OpenQuery query, boolean isComplete) {
        ByteBuilder out = new ByteBuilder(64 + 48 * query.shardRequests.size());
        out.appendAscii("{\"entire\":")
                .appendAscii(isComplete ? "true" : "false")
                .appendAscii(",\"items\":[");
        boolean first = true;
        for (OpenQuery.ShardRequest shardRequest : query.shardRequests.values()) {
            if (shardRequest.result != null) {
                out.appendAscii(first ? "{\"slice\":" : ",{\"slice\":")
                        .appendAscii(Integer.toString(shardRequest.shard))
                        .appendAscii(",\"body\":\"")
                        .appendEscaped(shardRequest.result)
                        .appendAscii("\"}");
                first = false;
            }
        }
        return out.appendAscii("]}").toByteArray();
    }

    /** A growable byte array. */
    private static final class ByteBuilder {
        private byte[] bytes;
        private int size;

        ByteBuilder(int initialCapacity) {
            bytes = new byte[initialCapacity];
        }

        private void add(int one) {
            if (size == bytes.length) {
                bytes = java.util.Arrays.copyOf(bytes, 2 * size);
            }
            bytes[size++] = (byte) one;
        }

        ByteBuilder appendAscii(String text) {
            for (int at = 0; at < text.length(); at++) {
                add(text.charAt(at));
            }
            return this;
        }

        /** Appends bytes within a JSON string, escaping only what JSON does not allow there. */
        ByteBuilder appendEscaped(byte[] value) {
            for (byte one : value) {
                if (one == '"' || one == '\\') {
                    add('\\');
                    add(one);
                } else if (one >= 0 && one < 0x20) {
                    appendAscii(String.format("\\u%04x", (int) one));
                } else {
                    add(one);
                }
            }
            return this;
        }

        byte[] toByteArray() {
            return java.util.Arrays.copyOf(bytes, size);
        }
    }
}
