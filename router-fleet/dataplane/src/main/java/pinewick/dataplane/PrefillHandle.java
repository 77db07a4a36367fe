package pinewick.dataplane;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import pinewick.model.ReplicaRecord;

/**
 * A reference to the KV cache of a prompt at its prefill replica.
 *
 * @param replica the prefill replica
 * @param id the id that the replica has given it
 * @param createdAtMs time at which the prefill response arrived, milliseconds
 */
record PrefillHandle(ReplicaRecord replica, String id, double createdAtMs) {
    private static final Pattern SAFE_ID = Pattern.compile("[A-Za-z0-9_.~-]{1,128}");

    /** Parses a prefill replica's response; empty if it contains no valid handle. */
    static Optional<PrefillHandle> parse(ReplicaRecord replica, byte[] body, double nowMs) {
        try {
            JsonElement json = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
            if (!(json instanceof JsonObject object) || !object.has("prefill_handle")) {
                return Optional.empty();
            }
            String id = object.get("prefill_handle").getAsString();
            return SAFE_ID.matcher(id).matches()
                    ? Optional.of(new PrefillHandle(replica, id, nowMs))
                    : Optional.empty();
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException e) {
            return Optional.empty();
        }
    }

    /** The value of the {@code Kv-From} header field. */
    String kvFrom() {
        return replica.address() + "/" + id;
    }

    /** Path of the request that releases the KV cache at its replica. */
    String path() {
        return "/kv-handle/" + id;
    }
}
