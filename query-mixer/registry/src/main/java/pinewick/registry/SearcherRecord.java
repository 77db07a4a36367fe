package pinewick.registry;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pinewick.core.SchedulerHost;

/**
 * A searcher as registered: the JSON value of its key, with {@code addresses} (strings of host and port, the first is
 * used), {@code phase} (ready or draining) and, optionally, {@code zone}, {@code cell}, {@code size} and {@code
 * started_at_ms} (Unix time; 0 or absent means long ago).
 *
 * @param startedAtSeconds seconds since 1970; 0 means long ago
 */
public record SearcherRecord(
        String id,
        List<String> addresses,
        String zone,
        int cell,
        SchedulerHost.LifecycleState state,
        double size,
        double startedAtSeconds) {

    /** The entry that the scheduler is given. */
    public SchedulerHost.ReplicaEntry toReplicaEntry() {
        return new SchedulerHost.ReplicaEntry(id, cell, zone, state, startedAtSeconds);
    }

    SearcherRecord withState(SchedulerHost.LifecycleState newState) {
        return new SearcherRecord(id, addresses, zone, cell, newState, size, startedAtSeconds);
    }

    /** Throws IllegalArgumentException with a message that names the invalid field. */
    static SearcherRecord parse(String id, byte[] value) {
        JsonObject object;
        try {
            object = JsonParser.parseString(new String(value, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("the value is not a JSON object");
        }
        List<String> addresses = new ArrayList<>();
        try {
            for (JsonElement each : object.getAsJsonArray("addresses")) {
                addresses.add(each.getAsString());
            }
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("addresses: a list of strings is expected");
        }
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses: at least one is expected");
        }
        String phase = text(object, "phase", "ready");
        SchedulerHost.LifecycleState state =
                switch (phase) {
                    case "ready" -> SchedulerHost.LifecycleState.READY;
                    case "draining" -> SchedulerHost.LifecycleState.DRAINING;
                    default -> throw new IllegalArgumentException("phase: ready or draining is expected, not " + phase);
                };
        if (!text(object, "id", id).equals(id)) {
            throw new IllegalArgumentException("id: differs from the key's");
        }
        double cell = number(object, "cell", 0);
        if (cell != Math.rint(cell) || cell < 0 || cell > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("cell: a non-negative integer is expected");
        }
        return new SearcherRecord(
                id,
                List.copyOf(addresses),
                text(object, "zone", ""),
                (int) cell,
                state,
                number(object, "size", 1),
                number(object, "started_at_ms", 0) / 1e3);
    }

    private static String text(JsonObject object, String field, String defaultValue) {
        JsonElement value = object.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
            throw new IllegalArgumentException(field + ": a string is expected");
        }
        return value.getAsString();
    }

    private static double number(JsonObject object, String field, double defaultValue) {
        JsonElement value = object.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isNumber()) {
            throw new IllegalArgumentException(field + ": a number is expected");
        }
        double number = value.getAsDouble();
        if (!(number >= 0 && number < 1e15)) {
            throw new IllegalArgumentException(field + ": out of bounds");
        }
        return number;
    }
}
