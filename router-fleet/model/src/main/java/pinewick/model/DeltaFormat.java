package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The binary format of deltas: a format byte, a checksum of the following bytes, and the delta. In the format
 * {@link #PLAIN} the delta is JSON text; in {@link #DEFLATED} it is the length of the JSON text followed by the
 * deflated text. Texts that are too short to benefit from compression are stored plain.
 */
final class DeltaFormat {
    private static final byte PLAIN = 1;
    private static final byte DEFLATED = 2;
    private static final int MIN_DEFLATED_BYTES = 600;
    private static final int MAX_TEXT_BYTES = 64 << 20;
    /** Size of the format byte and the checksum. */
    private static final int HEADER_BYTES = 1 + Integer.BYTES;
    /** Maximum size that deflate adds to incompressible data: a few bytes per block of several kilobytes. */
    private static final int DEFLATE_OVERHEAD = 64;

    private static final String BASE = "base";
    private static final String VERSION = "version";
    private static final String UPSERTS = "upserts";
    private static final String REMOVALS = "removals";
    private static final String FIELDS = "fields";

    private DeltaFormat() {}

    static byte[] write(ConfigurationDelta delta) {
        byte[] text = toJson(delta).toString().getBytes(StandardCharsets.UTF_8);
        return text.length < MIN_DEFLATED_BYTES ? plain(text) : deflated(text);
    }

    /** @throws IllegalArgumentException if the bytes are not valid output of {@link #write} */
    static ConfigurationDelta read(byte[] bytes) {
        try {
            return fromJson((JsonObject) JsonText.parse(text(bytes)));
        } catch (JsonText.UnreadableException | DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("not a configuration delta: " + e.getMessage(), e);
        }
    }

    private static byte[] plain(byte[] text) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + text.length);
        buffer.position(HEADER_BYTES).put(text);
        return withHeader(PLAIN, buffer);
    }

    private static byte[] deflated(byte[] text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(text);
            deflater.finish();
            int maxDeflatedBytes = text.length + text.length / 1_000 + DEFLATE_OVERHEAD;
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES + maxDeflatedBytes);
            buffer.position(HEADER_BYTES).putInt(text.length);
            deflater.deflate(buffer);
            return withHeader(DEFLATED, buffer);
        } finally {
            deflater.end();
        }
    }

    private static byte[] withHeader(byte format, ByteBuffer buffer) {
        buffer.flip();
        buffer.put(0, format).putInt(1, checksum(buffer.duplicate().position(HEADER_BYTES)));
        return Arrays.copyOf(buffer.array(), buffer.limit());
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return (int) checksum.getValue();
    }

    private static byte[] text(byte[] bytes) throws DataFormatException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        byte format = buffer.get();
        if (buffer.getInt() != checksum(buffer.duplicate())) {
            throw new DataFormatException("checksum mismatch");
        }
        return switch (format) {
            case PLAIN -> Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
            case DEFLATED -> inflated(buffer.getInt(), buffer);
            default -> throw new DataFormatException("unknown format " + format);
        };
    }

    private static byte[] inflated(int length, ByteBuffer deflated) throws DataFormatException {
        if (length < 0 || length > MAX_TEXT_BYTES) {
            throw new DataFormatException("invalid text length: " + length + " bytes");
        }
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(deflated);
            byte[] text = new byte[length];
            if (inflater.inflate(text) != length) {
                throw new DataFormatException("the text is truncated");
            }
            return text;
        } finally {
            inflater.end();
        }
    }

    private static JsonObject toJson(ConfigurationDelta delta) {
        JsonObject json = new JsonObject();
        json.addProperty(BASE, delta.baseVersion());
        json.addProperty(VERSION, delta.version());
        JsonObject upserts = new JsonObject();
        delta.upserts().forEach((section, items) -> {
            JsonObject itemsByName = new JsonObject();
            items.forEach(itemsByName::add);
            upserts.add(section, itemsByName);
        });
        json.add(UPSERTS, upserts);
        JsonObject removals = new JsonObject();
        delta.removals().forEach((section, names) -> {
            JsonArray list = new JsonArray(names.size());
            names.forEach(list::add);
            removals.add(section, list);
        });
        json.add(REMOVALS, removals);
        JsonObject fields = new JsonObject();
        delta.fields().forEach(fields::add);
        json.add(FIELDS, fields);
        return json;
    }

    /** Uses casts, because the exceptions of Gson's own conversions contain the value, which may include keys. */
    private static ConfigurationDelta fromJson(JsonObject json) {
        Map<String, Map<String, JsonObject>> upserts = new LinkedHashMap<>();
        json.getAsJsonObject(UPSERTS).entrySet().forEach(section -> {
            Map<String, JsonObject> items = new LinkedHashMap<>();
            ((JsonObject) section.getValue())
                    .entrySet()
                    .forEach(item -> items.put(item.getKey(), (JsonObject) item.getValue()));
            upserts.put(section.getKey(), items);
        });
        Map<String, List<String>> removals = new LinkedHashMap<>();
        json.getAsJsonObject(REMOVALS).entrySet().forEach(section -> {
            List<String> names = new ArrayList<>();
            ((JsonArray) section.getValue()).forEach(name -> names.add(name.getAsString()));
            removals.put(section.getKey(), names);
        });
        Map<String, JsonElement> fields = new LinkedHashMap<>();
        json.getAsJsonObject(FIELDS).entrySet().forEach(field -> fields.put(field.getKey(), field.getValue()));
        return new ConfigurationDelta(number(json, BASE), number(json, VERSION), upserts, removals, fields);
    }

    private static long number(JsonObject json, String name) {
        return ((JsonPrimitive) json.get(name)).getAsLong();
    }
}
