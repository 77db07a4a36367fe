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

/** Discovery's form of the list of searchers. */
public final class ReplicaListJson {
    /** A piece of the list; each entry's address stands at the same place as its listing. */
    public record Update(
            long revision,
            boolean isFull,
            List<SchedulerHost.ReplicaEntry> entries,
            List<InetSocketAddress> addresses) {
        public Update(long revision, boolean isFull, List<SchedulerHost.ReplicaEntry> none) {
            this(revision, isFull, none, List.of());
        }
    }

    private ReplicaListJson() {}

    /** Anything that is not in this form brings an exception. */
    public static Update read(String text) {
        return read(JsonParser.parseString(text).getAsJsonObject());
    }

    public static Update read(JsonObject piece) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonElement each : piece.getAsJsonArray("members")) {
            JsonObject member = each.getAsJsonObject();
            SchedulerHost.LifecycleState stage =
                    switch (member.get("phase").getAsString()) {
                        case "ready" -> SchedulerHost.LifecycleState.READY;
                        case "draining" -> SchedulerHost.LifecycleState.DRAINING;
                        case "gone" -> SchedulerHost.LifecycleState.GONE;
                        default -> throw new IllegalArgumentException("phase " + member.get("phase"));
                    };
            double startedAt =
                    member.has("up_since_ms") ? member.get("up_since_ms").getAsDouble() / 1e3 : 0;
            String zone = member.has("locality") ? member.get("locality").getAsString() : "";
            boolean placed = member.has("host_port")
                    && !member.get("host_port").getAsString().isEmpty();
            if (!placed && stage != SchedulerHost.LifecycleState.GONE) {
                throw new IllegalArgumentException("host_port is missing");
            }
            addresses.add(placed ? address(member.get("host_port").getAsString()) : null);
            entries.add(new SchedulerHost.ReplicaEntry(
                    member.get("id").getAsString(),
                    member.has("cell") ? member.get("cell").getAsInt() : 0,
                    zone,
                    stage,
                    startedAt));
        }
        return new Update(
                piece.get("revision").getAsLong(), piece.get("complete").getAsBoolean(), entries, addresses);
    }

    /** A host given by number and a port; names are not looked up, there is no service for that. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new IllegalArgumentException("'" + text + "' is no address and port");
            }
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | NumberFormatException odd) {
            throw new IllegalArgumentException("'" + text + "' is no address and port");
        }
    }
}
