package pinewick.wire;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import pinewick.memory.OpenQuery;

/** The text of a query and of its answer; of a query only what decisions and searchers need is taken out. */
public final class QueryText {
    private QueryText() {
    }

    /** Reads a query's parts and text into it; anything that is not in the form brings an exception. */
    public static void read(byte[] body, OpenQuery into, int shards) {
        boolean parts = false;
        try (JsonReader in = new JsonReader(new InputStreamReader(new ByteArrayInputStream(body),
            StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)))) {
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "slices" -> {
                        wrongIf(parts, "slices twice");
                        parts = true;
                        in.beginArray();
                        while (in.hasNext()) {
                            part(in, into, shards);
                        }
                        in.endArray();
                    }
                    case "filter" -> {
                        wrongIf(in.peek() != JsonToken.STRING, "filter is no string");
                        into.text = in.nextString().getBytes(StandardCharsets.UTF_8);
                    }
                    default -> in.skipValue();
                }
            }
            in.endObject();
            wrongIf(in.peek() != JsonToken.END_DOCUMENT, "text after the object");
        } catch (CharacterCodingException odd) {
            throw new IllegalArgumentException("not UTF-8");
        } catch (IOException | IllegalStateException odd) {
            throw new IllegalArgumentException("not in the form: " + odd.getMessage());
        }
        wrongIf(into.pieces.isEmpty(), "no slices");
    }

    private static void part(JsonReader in, OpenQuery into, int shards) throws IOException {
        int shard = -1;
        double mass = Double.NaN;
        in.beginObject();
        while (in.hasNext()) {
            switch (in.nextName()) {
                case "slice" -> shard = in.nextInt();
                case "mass" -> mass = in.nextDouble();
                case "micros" -> into.workHint += in.nextDouble() / 1e6;
                default -> in.skipValue();
            }
        }
        in.endObject();
        wrongIf(shard < 0 || shard >= shards, "unknown slice " + shard);
        wrongIf(!(mass >= 0 && mass < Double.POSITIVE_INFINITY), "slice " + shard + " without a mass");
        wrongIf(!into.piece(shard, mass), "slice " + shard + " twice");
    }

    private static void wrongIf(boolean wrong, String what) {
        if (wrong) {
            throw new IllegalArgumentException(what);
        }
    }

    /** The answer's body: each value that is in, as the bytes that came. */
    public static byte[] answer(OpenQuery query, boolean whole) {
        Bytes out = new Bytes(64 + 48 * query.pieces.size());
        out.ascii("{\"entire\":").ascii(whole ? "true" : "false").ascii(",\"items\":[");
        boolean first = true;
        for (OpenQuery.Piece piece : query.pieces.values()) {
            if (piece.value != null) {
                out.ascii(first ? "{\"slice\":" : ",{\"slice\":").ascii(Integer.toString(piece.shard))
                    .ascii(",\"body\":\"").quoted(piece.value).ascii("\"}");
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
