package pinewick.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pinewick.membership.NodeDescriptor;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/** The state of one controller, for the people who run it. */
final class StatusReport {
    private static final double MS_A_SECOND = 1_000;

    private final JsonObject report = new JsonObject();

    /** Which process this is, and for how long it runs. */
    StatusReport node(String name, String zone, double uptimeMs) {
        report.addProperty("node", name);
        report.addProperty("zone", zone);
        report.addProperty("uptime_s", Math.round(uptimeMs / MS_A_SECOND));
        return this;
    }

    /**
     * The configuration as this process sees it.
     *
     * @param version the newest version held here
     * @param replication epoch, members and how many losses are borne
     * @param lastEvent what the replication noted last
     */
    StatusReport configuration(
            long version, ReplicationReport replication, Optional<Long> leadingEpoch, String lastEvent) {
        JsonObject section = new JsonObject();
        section.addProperty("version", version);
        replication.primary().ifPresent(address -> section.addProperty("primary", address.toString()));
        leadingEpoch.ifPresent(epoch -> section.addProperty("leading_epoch", epoch));
        section.addProperty("epoch", replication.epoch());
        section.add("members", members(replication.members()));
        section.addProperty("in_sync", replication.inSync());
        addFaultTolerance(section, replication.faultTolerance());
        section.addProperty("last_event", lastEvent);
        report.add("configuration", section);
        return this;
    }

    private static JsonArray members(List<MemberReport> members) {
        JsonArray list = new JsonArray();
        for (MemberReport member : members) {
            JsonObject entry = new JsonObject();
            entry.addProperty("identity", member.member().identity());
            entry.addProperty("address", member.member().address().toString());
            entry.addProperty("in_sync", member.inSync());
            entry.addProperty("leaving", member.shuttingDown());
            member.sinceContactMs().ifPresent(silentMs -> entry.addProperty("silent_ms", Math.round(silentMs)));
            list.add(entry);
        }
        return list;
    }

    private static void addFaultTolerance(JsonObject section, FaultTolerance tolerance) {
        tolerance.currentStores().ifPresent(copies -> section.addProperty("copies", copies));
        tolerance.tolerableLosses().ifPresent(losses -> section.addProperty("bears_losses", losses));
        if (!tolerance.unknownReason().isEmpty()) {
            section.addProperty("bears_losses_unknown", tolerance.unknownReason());
        }
        tolerance.sufficientForMs().ifPresent(sinceMs -> section.addProperty("repaired_ms", Math.round(sinceMs)));
    }

    /** The other processes. */
    StatusReport fleet(boolean synchronised, int routers, int routersAtMost, List<NodeDescriptor> peers) {
        JsonObject section = new JsonObject();
        section.addProperty("synchronised", synchronised);
        section.addProperty("routers", routers);
        section.addProperty("routers_at_most", routersAtMost);
        JsonArray list = new JsonArray();
        for (NodeDescriptor peer : peers) {
            JsonObject entry = new JsonObject();
            entry.addProperty("address", peer.address().toString());
            entry.addProperty("role", peer.role().name().toLowerCase(Locale.ROOT));
            entry.addProperty("zone", peer.zone());
            list.add(entry);
        }
        section.add("peers", list);
        report.add("fleet", section);
        return this;
    }

    /** Replicas by service and state. */
    StatusReport replicas(Collection<ReplicaRecord> records) {
        Map<String, Map<ReplicaState, Integer>> states = new TreeMap<>();
        Map<String, Integer> lapsed = new TreeMap<>();
        for (ReplicaRecord record : records) {
            states.computeIfAbsent(record.service(), name -> new EnumMap<>(ReplicaState.class))
                    .merge(record.state(), 1, Integer::sum);
            lapsed.merge(record.service(), record.lapsed() ? 1 : 0, Integer::sum);
        }
        JsonObject section = new JsonObject();
        states.forEach((service, counts) -> section.add(service, serviceEntry(counts, lapsed.get(service))));
        report.add("replicas", section);
        return this;
    }

    private static JsonObject serviceEntry(Map<ReplicaState, Integer> counts, int lapsed) {
        JsonObject entry = new JsonObject();
        for (ReplicaState state : ReplicaState.values()) {
            entry.addProperty(state.name().toLowerCase(Locale.ROOT), counts.getOrDefault(state, 0));
        }
        entry.addProperty("lapsed", lapsed);
        return entry;
    }

    /** What replicas have told this process. */
    StatusReport registry(RegistryCounters counters) {
        JsonObject section = new JsonObject();
        section.addProperty("heartbeats", counters.heartbeats());
        section.addProperty("late_heartbeats", counters.lateHeartbeats());
        section.addProperty("records_published", counters.published());
        section.addProperty("ends_confirmed", counters.endsConfirmed());
        section.addProperty("ends_unconfirmed", counters.endsUnconfirmed());
        section.addProperty("ends_acknowledged_alone", counters.endsAcknowledgedAlone());
        section.addProperty("found_silent", counters.lapsed());
        report.add("registry", section);
        return this;
    }

    /** The report as JSON. */
    byte[] toJson() {
        return report.toString().getBytes(StandardCharsets.UTF_8);
    }
}
