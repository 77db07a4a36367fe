package pinewick.wire;

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

/** The text of a query and of its answer; of a query only what decisions and searchers need is taken out. */
public final class QueryText {
    /** How far one weight may be off through rounding. */
    private static final double ROUNDING = 1e-3;

    private QueryText() {}

    /** Reads a query's parts and text into it; anything that is not in the form brings an exception. */
    public static void read(byte[] body, OpenQuery into, int shards) {
        boolean parts = false;
        boolean text = false;
        try (JsonReader in = new JsonReader(new InputStreamReader(
                new ByteArrayInputStream(body),
                StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)))) {
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "slices" -> {
                        wrongIf(parts, "json: slices twice");
                        parts = true;
                        in.beginArray();
                        while (in.hasNext()) {
                            part(in, into, shards);
                        }
                        in.endArray();
                    }
                    case "filter" -> {
                        wrongIf(text || in.peek() != JsonToken.STRING, "json: filter twice or no string");
                        text = true;
                        into.filter = in.nextString().getBytes(StandardCharsets.UTF_8);
                    }
                    default -> in.skipValue();
                }
            }
            in.endObject();
            wrongIf(in.peek() != JsonToken.END_DOCUMENT, "json: text after the object");
        } catch (CharacterCodingException odd) {
            throw new IllegalArgumentException("json: not UTF-8");
        } catch (IOException | IllegalStateException odd) {
            throw new IllegalArgumentException("json: not in the form: " + odd.getMessage());
        }
        wrongIf(into.shardRequests.isEmpty(), "json: no slices");
        wrongIf(!text, "json: no filter");
        double sum = into.shardRequests.values().stream()
                .mapToDouble(piece -> piece.weight)
                .sum();
        // Each weight is a decimal fraction, rounded; few digits are to be expected of some clients.
        wrongIf(Math.abs(sum - 1) > ROUNDING * Math.max(4, into.shardRequests.size()), "weight: the sum is " + sum);
    }

    private static void part(JsonReader in, OpenQuery into, int shards) throws IOException {
        int shard = -1;
        double mass = Double.NaN;
        int fields = 0;
        in.beginObject();
        while (in.hasNext()) {
            switch (in.nextName()) {
                case "slice" -> {
                    wrongIf(in.peek() != JsonToken.NUMBER || (fields & 1) > 0, "shard: no number, or twice");
                    fields |= 1;
                    String number = in.nextString();
                    wrongIf(!number.matches("[0-9]{1,9}"), "shard: " + number);
                    shard = Integer.parseInt(number);
                }
                case "mass" -> {
                    wrongIf(in.peek() != JsonToken.NUMBER || (fields & 2) > 0, "weight: no number, or twice");
                    fields |= 2;
                    mass = in.nextDouble();
                }
                case "micros" -> into.workHint += in.nextDouble() / 1e6;
                default -> in.skipValue();
            }
        }
        in.endObject();
        wrongIf(shard < 0 || shard >= shards, "shard: unknown " + shard);
        wrongIf(!(mass > 0 && mass <= 1), "weight: of slice " + shard + " is missing or not within 0 and 1");
        wrongIf(!into.addShardRequest(shard, mass), "shard: " + shard + " twice");
    }

    private static void wrongIf(boolean wrong, String what) {
        if (wrong) {
            throw new IllegalArgumentException(what);
        }
    }

    /** Whether a searcher's value can stand in an answer: text, not empty, that no client would fail to read. */
    static boolean fitsAnAnswer(byte[] value) {
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
        } catch (CharacterCodingException odd) {
            return false;
        }
    }

    /** The answer's body: each value that is in, as the bytes that came. */
    public static byte[] answer(OpenQuery query, boolean whole) {
        Bytes out = new Bytes(64 + 48 * query.shardRequests.size());
        out.ascii("{\"entire\":").ascii(whole ? "true" : "false").ascii(",\"items\":[");
        boolean first = true;
        for (OpenQuery.ShardRequest piece : query.shardRequests.values()) {
            if (piece.result != null) {
                out.ascii(first ? "{\"slice\":" : ",{\"slice\":")
                        .ascii(Integer.toString(piece.shard))
                        .ascii(",\"body\":\"")
                        .quoted(piece.result)
                        .ascii("\"}");
                first = false;
            }
        }
        return out.ascii("]}").done();
    }

    /** A growing array of bytes. */
    private static final class Bytes {
        private byte[] bytes;
        private int size;

        Bytes(int first) {
            bytes = new byte[first];
        }

        private void add(int one) {
            if (size == bytes.length) {
                bytes = java.util.Arrays.copyOf(bytes, 2 * size);
            }
            bytes[size++] = (byte) one;
        }

        Bytes ascii(String text) {
            for (int at = 0; at < text.length(); at++) {
                add(text.charAt(at));
            }
            return this;
        }

        /** Bytes within a JSON string: all but what JSON forbids there goes on as it came. */
        Bytes quoted(byte[] value) {
            for (byte one : value) {
                if (one == '"' || one == '\\') {
                    add('\\');
                    add(one);
                } else if (one >= 0 && one < 0x20) {
                    ascii(String.format("\\u%04x", (int) one));
                } else {
                    add(one);
                }
            }
            return this;
        }

        byte[] done() {
            return java.util.Arrays.copyOf(bytes, size);
        }
    }
}
