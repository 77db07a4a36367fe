package pinewick.protocol;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import pinewick.core.SchedulerHost;

/** The JSON form in which the discovery service lists replicas (searchers). */
public final class ReplicaListJson {
    /**
     * The whole list, or a change to it; {@code addresses} has the address of each entry at the same index, null if it
     * has none.
     */
    public record Update(
            long revision,
            boolean isFull,
            List<SchedulerHost.ReplicaEntry> entries,
            List<InetSocketAddress> addresses) {
        public Update(long revision, boolean isFull, List<SchedulerHost.ReplicaEntry> entries) {
            this(revision, isFull, entries, List.of());
        }
    }

    private ReplicaListJson() {}

    /** Parses an update; throws a RuntimeException if it is malformed. */
    public static Update read(String text) {
        return read(JsonParser.parseString(text).getAsJsonObject());
    }

    public static Update read(JsonObject update) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonElement each : update.getAsJsonArray("members")) {
            JsonObject member = each.getAsJsonObject();
            SchedulerHost.LifecycleState state =
                    switch (member.get("phase").getAsString()) {
                        case "ready" -> SchedulerHost.LifecycleState.READY;
                        case "draining" -> SchedulerHost.LifecycleState.DRAINING;
                        case "gone" -> SchedulerHost.LifecycleState.GONE;
                        default -> throw new IllegalArgumentException("phase " + member.get("phase"));
                    };
            double startedAt =
                    member.has("up_since_ms") ? member.get("up_since_ms").getAsDouble() / 1e3 : 0;
            String zone = member.has("locality") ? member.get("locality").getAsString() : "";
            boolean hasAddress = member.has("host_port")
                    && !member.get("host_port").getAsString().isEmpty();
            if (!hasAddress && state != SchedulerHost.LifecycleState.GONE) {
                throw new IllegalArgumentException("host_port is missing");
            }
            addresses.add(hasAddress ? address(member.get("host_port").getAsString()) : null);
            entries.add(new SchedulerHost.ReplicaEntry(
                    member.get("id").getAsString(),
                    member.has("cell") ? member.get("cell").getAsInt() : 0,
                    zone,
                    state,
                    startedAt));
        }
        return new Update(
                update.get("revision").getAsLong(), update.get("complete").getAsBoolean(), entries, addresses);
    }

    /** Parses a numeric host and a port; host names are not resolved, since there is no name service. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new IllegalArgumentException("'" + text + "' is no address and port");
            }
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | NumberFormatException malformed) {
            throw new IllegalArgumentException("'" + text + "' is no address and port");
        }
    }
}
