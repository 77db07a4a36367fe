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
 * The JSON form of etcd's v3 API as published: keys and values in base64, 64-bit numbers as strings, fields with a zero
 * value omitted. Encodes request bodies for POST and decodes responses from one JSON object each. No I/O.
 */
public final class EtcdJson {
    public static final String RANGE_PATH = "/v3/kv/range";
    public static final String WATCH_PATH = "/v3/watch";
    public static final String PUT_PATH = "/v3/kv/put";
    public static final String GRANT_PATH = "/v3/lease/grant";
    public static final String KEEP_ALIVE_PATH = "/v3/lease/keepalive";

    private EtcdJson() {}

    /** The first key after all keys with this prefix: etcd's {@code range_end}. */
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

    public static String rangeRequest(String fromKey, String prefix, long revision, int limit, boolean keysOnly) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(fromKey.getBytes(StandardCharsets.UTF_8)));
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

    /**
     * Requests the last modified key, without its value, and the number of keys; the read is linearizable, so a member
     * cut off from its quorum cannot answer it.
     */
    public static String probeRequest(String prefix) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(prefix.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("range_end", base64(rangeEnd(prefix)));
        body.addProperty("limit", "1");
        body.addProperty("sort_order", "DESCEND");
        body.addProperty("sort_target", "MOD");
        body.addProperty("keys_only", true);
        return body.toString();
    }

    public static String watchRequest(String prefix, long fromRevision) {
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

    public static String leaseGrantRequest(double ttlSeconds) {
        JsonObject body = new JsonObject();
        body.addProperty("TTL", Long.toString(Math.max(1, Math.round(ttlSeconds))));
        return body.toString();
    }

    public static String putRequest(String key, String value, long lease) {
        JsonObject body = new JsonObject();
        body.addProperty("key", base64(key.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("value", base64(value.getBytes(StandardCharsets.UTF_8)));
        body.addProperty("lease", Long.toString(lease));
        return body.toString();
    }

    public static String keepAliveRequest(long lease) {
        JsonObject body = new JsonObject();
        body.addProperty("ID", Long.toString(lease));
        return body.toString();
    }

    /**
     * A lease as returned by the registry: its id and remaining time to live, 0 if the registry does not know the
     * lease.
     */
    public record Lease(long id, double ttlSeconds) {}

    /**
     * Parses the response to a lease grant, a put or a keep-alive; throws IllegalArgumentException with the error
     * message if it reports an error or is malformed.
     */
    public static Lease parseLease(String json) {
        try {
            JsonObject object = JsonParser.parseString(json).getAsJsonObject();
            if (object.has("error")) {
                throw new IllegalArgumentException(object.get("error").toString());
            }
            JsonObject body = object.has("result") ? object.getAsJsonObject("result") : object;
            return new Lease(number(body, "ID"), number(body, "TTL"));
        } catch (IllegalStateException | UnsupportedOperationException | com.google.gson.JsonParseException e) {
            throw new IllegalArgumentException("malformed registry response: " + e.getMessage());
        }
    }

    /**
     * Parses one JSON object of a response; throws IllegalArgumentException if it is malformed. An error reported by
     * the registry is returned in the response's {@code error}.
     */
    public static RegistryResponse parseResponse(String json) {
        try {
            JsonObject object = JsonParser.parseString(json).getAsJsonObject();
            if (object.has("error")) {
                JsonElement error = object.get("error");
                String message = error.isJsonObject()
                        ? text(error.getAsJsonObject(), "message", "an error")
                        : error.getAsString();
                return new RegistryResponse("", "", 0, List.of(), false, 0, false, false, 0, false, message);
            }
            JsonObject body = object.has("result") ? object.getAsJsonObject("result") : object;
            JsonObject header = body.getAsJsonObject("header");
            List<KeyValue> keyValues = new ArrayList<>();
            if (body.has("events")) {
                for (JsonElement each : body.getAsJsonArray("events")) {
                    JsonObject event = each.getAsJsonObject();
                    keyValues.add(keyValue(
                            event.getAsJsonObject("kv"),
                            text(event, "type", "PUT").equals("DELETE")));
                }
            }
            JsonArray kvs = body.has("kvs") ? body.getAsJsonArray("kvs") : new JsonArray();
            for (JsonElement each : kvs) {
                keyValues.add(keyValue(each.getAsJsonObject(), false));
            }
            return new RegistryResponse(
                    text(header, "cluster_id", ""),
                    text(header, "member_id", ""),
                    number(header, "revision"),
                    keyValues,
                    flag(body, "more"),
                    number(body, "count"),
                    flag(body, "created"),
                    flag(body, "canceled"),
                    number(body, "compact_revision"),
                    flag(body, "fragment"),
                    null);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("malformed registry response: " + e.getMessage());
        }
    }

    private static KeyValue keyValue(JsonObject kv, boolean deleted) {
        byte[] value = deleted ? null : Base64.getDecoder().decode(text(kv, "value", ""));
        String key = new String(Base64.getDecoder().decode(text(kv, "key", "")), StandardCharsets.UTF_8);
        return new KeyValue(key, value, number(kv, "mod_revision"), number(kv, "lease"));
    }

    private static String text(JsonObject object, String field, String defaultValue) {
        return object.has(field) ? object.get(field).getAsString() : defaultValue;
    }

    private static long number(JsonObject object, String field) {
        return object.has(field) ? object.get(field).getAsLong() : 0;
    }

    private static boolean flag(JsonObject object, String field) {
        return object.has(field) && object.get(field).getAsBoolean();
    }
}
