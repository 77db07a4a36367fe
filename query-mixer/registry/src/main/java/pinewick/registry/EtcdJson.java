package pinewick.registry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * The JSON form of etcd's v3 API as published: keys and values in base64, 64-bit numbers as texts, fields of value
 * zero left out. Questions as bodies of POST, answers from one JSON object each. No I/O.
 */
public final class EtcdJson {
    public static final String RANGE = "/v3/kv/range";
    public static final String WATCH = "/v3/watch";
    public static final String PUT = "/v3/kv/put";
    public static final String GRANT = "/v3/lease/grant";
    public static final String RENEW = "/v3/lease/keepalive";

    private EtcdJson() {}

    /** The first key after all that begin with this prefix. */
    public static byte[] rangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        for (int at = end.length - 1; at >= 0; at--) {
            if (end[at] != (byte) 0xff) {
                end[at]++;
                return java.util.Arrays.copyOf(end, at + 1);
            }
        }
        return new byte[] {0};
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    public static String read(String from, String prefix, long revision, int limit, boolean keysOnly) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(from.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("range_end", base64(rangeEnd(prefix)));
        body.addProperty("limit", Integer.toString(limit));
        if (revision > 0) {
            body.addProperty("revision", Long.toString(revision));
        }
        if (keysOnly) {
            body.addProperty("keys_only", true);
        }
        return body.toString();
    }

    /** The key changed last, and how many there are; never from a member that can't reach the others. */
    public static String probe(String prefix) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(prefix.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("range_end", base64(rangeEnd(prefix)));
        body.addProperty("limit", "1");
        body.addProperty("sort_order", "DESCEND");
        body.addProperty("sort_target", "MOD");
        body.addProperty("keys_only", true);
        return body.toString();
    }

    public static String watch(String prefix, long fromRevision) {
        JsonObject create = new JsonObject();
        create.addProperty("key", base64(prefix.getBytes(StandardCharsets.UTF_8)));
        create.addProperty("range_end", base64(rangeEnd(prefix)));
        create.addProperty("start_revision", Long.toString(fromRevision));
        create.addProperty("progress_notify", true);
        create.addProperty("fragment", true);
        JsonObject body = new JsonObject();
        body.add("create_request", create);
        return body.toString();
    }

    public static String grant(double seconds) {
        JsonObject body = new JsonObject();
        body.addProperty("TTL", Long.toString(Math.max(1, Math.round(seconds))));
        return body.toString();
    }

    public static String put(String key, String value, long lease) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(key.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("value", base64(value.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("lease", Long.toString(lease));
        return body.toString();
    }

    public static String renew(long lease) {
        JsonObject body = new JsonObject();
        body.addProperty("ID", Long.toString(lease));
        return body.toString();
    }

    /** A lease as an answer tells it: its id and the seconds left, 0 where the registry does not know it. */
    public record Lease(long id, double left) {}

    /** Reads an answer to a grant, a put or a renewal; a fault brings an IllegalArgumentException with its words. */
    public static Lease lease(String text) {
        try {
            JsonObject all = JsonParser.parseString(text).getAsJsonObject();
            if (all.has("error")) {
                throw new IllegalArgumentException(all.get("error").toString());
            }
            JsonObject body = all.has("result") ? all.getAsJsonObject("result") : all;
            return new Lease(number(body, "ID"), number(body, "TTL"));
        } catch (IllegalStateException | UnsupportedOperationException | com.google.gson.JsonParseException odd) {
            throw new IllegalArgumentException("not in the registry's form: " + odd.getMessage());
        }
    }

    /** Reads one object of an answer; what is not in the form brings an IllegalArgumentException. */
    public static RegistryResponse answer(String text) {
        try {
            JsonObject all = JsonParser.parseString(text).getAsJsonObject();
            if (all.has("error")) {
                JsonElement error = all.get("error");
                String words = error.isJsonObject()
                        ? text(error.getAsJsonObject(), "message", "an error")
                        : error.getAsString();
                return new RegistryResponse("", "", 0, List.of(), false, 0, false, false, 0, false, words);
            }
            JsonObject body = all.has("result") ? all.getAsJsonObject("result") : all;
            JsonObject header = body.getAsJsonObject("header");
            List<KeyValue> entries = new ArrayList<>();
            if (body.has("events")) {
                for (JsonElement each : body.getAsJsonArray("events")) {
                    JsonObject event = each.getAsJsonObject();
                    entries.add(entry(
                            event.getAsJsonObject("kv"),
                            text(event, "type", "PUT").equals("DELETE")));
                }
            }
            JsonArray pairs = body.has("kvs") ? body.getAsJsonArray("kvs") : new JsonArray();
            for (JsonElement each : pairs) {
                entries.add(entry(each.getAsJsonObject(), false));
            }
            return new RegistryResponse(
                    text(header, "cluster_id", ""),
                    text(header, "member_id", ""),
                    number(header, "revision"),
                    entries,
                    flag(body, "more"),
                    number(body, "count"),
                    flag(body, "created"),
                    flag(body, "canceled"),
                    number(body, "compact_revision"),
                    flag(body, "fragment"),
                    null);
        } catch (RuntimeException odd) {
            throw new IllegalArgumentException("not in the registry's form: " + odd.getMessage());
        }
    }

    private static KeyValue entry(JsonObject pair, boolean removed) {
        byte[] value = removed ? null : Base64.getDecoder().decode(text(pair, "value", ""));
        String key = new String(Base64.getDecoder().decode(text(pair, "key", "")), StandardCharsets.UTF_8);
        return new KeyValue(key, value, number(pair, "mod_revision"), number(pair, "lease"));
    }

    private static String text(JsonObject from, String field, String absent) {
        return from.has(field) ? from.get(field).getAsString() : absent;
    }

    private static long number(JsonObject from, String field) {
        return from.has(field) ? from.get(field).getAsLong() : 0;
    }

    private static boolean flag(JsonObject from, String field) {
        return from.has(field) && from.get(field).getAsBoolean();
    }
}
