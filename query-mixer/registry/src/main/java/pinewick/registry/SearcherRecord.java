package pinewick.registry;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pinewick.core.SchedulerHost;

/**
 * One searcher as its key's value in the registry tells it: JSON with {@code addresses} (texts of host and port, the
 * first is used), {@code phase} (ready or draining) and, if given, {@code zone}, {@code cell}, {@code size} and
 * {@code started_at_ms} (Unix time, 0 or absent: long ago).
 *
 * @param startedAt seconds since 1970, 0 means long ago
 */
public record SearcherRecord(
        String id,
        List<String> addresses,
        String zone,
        int cell,
        SchedulerHost.LifecycleState stage,
        double size,
        double startedAt) {

    /** What the decisions are told of it. */
    public SchedulerHost.ReplicaEntry listing() {
        return new SchedulerHost.ReplicaEntry(id, cell, zone, stage, startedAt);
    }

    SearcherRecord at(SchedulerHost.LifecycleState other) {
        return new SearcherRecord(id, addresses, zone, cell, other, size, startedAt);
    }

    /** Throws IllegalArgumentException that names the field at fault. */
    static SearcherRecord read(String id, byte[] value) {
        JsonObject all;
        try {
            all = JsonParser.parseString(new String(value, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (RuntimeException odd) {
            throw new IllegalArgumentException("the value is no JSON object");
        }
        List<String> addresses = new ArrayList<>();
        try {
            for (JsonElement each : all.getAsJsonArray("addresses")) {
                addresses.add(each.getAsString());
            }
        } catch (RuntimeException odd) {
            throw new IllegalArgumentException("addresses: a list of texts is expected");
        }
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses: at least one is expected");
        }
        String phase = text(all, "phase", "ready");
        SchedulerHost.LifecycleState stage =
                switch (phase) {
                    case "ready" -> SchedulerHost.LifecycleState.READY;
                    case "draining" -> SchedulerHost.LifecycleState.DRAINING;
                    default -> throw new IllegalArgumentException("phase: ready or draining is expected, not " + phase);
                };
        if (!text(all, "id", id).equals(id)) {
            throw new IllegalArgumentException("id: differs from the key's");
        }
        double cell = number(all, "cell", 0);
        if (cell != Math.rint(cell) || cell < 0 || cell > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("cell: a whole number from 0 is expected");
        }
        return new SearcherRecord(
                id,
                List.copyOf(addresses),
                text(all, "zone", ""),
                (int) cell,
                stage,
                number(all, "size", 1),
                number(all, "started_at_ms", 0) / 1e3);
    }

    private static String text(JsonObject all, String field, String absent) {
        JsonElement value = all.get(field);
        if (value == null) {
            return absent;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
            throw new IllegalArgumentException(field + ": a text is expected");
        }
        return value.getAsString();
    }

    private static double number(JsonObject all, String field, double absent) {
        JsonElement value = all.get(field);
        if (value == null) {
            return absent;
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
