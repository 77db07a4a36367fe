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
import pinewick.quota.TenantUsage;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/**
 * The status of one controller for operators, the response to {@code GET /status}. docs/operators/router-fleet.md
 * explains the fields.
 */
final class StatusReport {
    private static final double MS_PER_SECOND = 1_000;

    private final JsonObject report = new JsonObject();

    /** Adds the name, zone and uptime of this process. */
    StatusReport node(String name, String zone, double uptimeMs) {
        report.addProperty("node", name);
        report.addProperty("zone", zone);
        report.addProperty("uptime_s", Math.round(uptimeMs / MS_PER_SECOND));
        return this;
    }

    /**
     * Adds the state of the configuration and its replication at this process.
     *
     * @param version the newest version known to this process
     * @param replication epoch, members and number of tolerable losses
     * @param lastEvent the last event of the replication, empty if there was none
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
            entry.addProperty("shutting_down", member.shuttingDown());
            member.sinceContactMs()
                    .ifPresent(sinceContactMs -> entry.addProperty("since_contact_ms", Math.round(sinceContactMs)));
            list.add(entry);
        }
        return list;
    }

    private static void addFaultTolerance(JsonObject section, FaultTolerance tolerance) {
        tolerance.currentStores().ifPresent(stores -> section.addProperty("up_to_date_stores", stores));
        tolerance.tolerableLosses().ifPresent(losses -> section.addProperty("tolerable_losses", losses));
        if (!tolerance.unknownReason().isEmpty()) {
            section.addProperty("tolerable_losses_unknown", tolerance.unknownReason());
        }
        tolerance
                .sufficientForMs()
                .ifPresent(sufficientMs -> section.addProperty("sufficient_ms", Math.round(sufficientMs)));
    }

    /** Adds the other processes of the fleet. */
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

    /** Adds the number of replicas by service and state. */
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

    /** Adds the tenant quotas; {@code usage} is empty at a controller that does not grant quotas. */
    StatusReport tenants(List<TenantUsage> usage) {
        JsonObject section = new JsonObject();
        for (TenantUsage tenant : usage) {
            JsonObject entry = new JsonObject();
            entry.addProperty("rate_per_s", tenant.ratePerSecond());
            entry.addProperty("available", Math.round(tenant.level()));
            entry.addProperty("granted", Math.round(tenant.granted()));
            entry.addProperty("refused", Math.round(tenant.refused()));
            section.add(tenant.tenant(), entry);
        }
        report.add("tenants", section);
        return this;
    }

    /** Adds the counters of the replica registry of this process. */
    StatusReport registry(RegistryCounters counters) {
        JsonObject section = new JsonObject();
        section.addProperty("heartbeats", counters.heartbeats());
        section.addProperty("late_heartbeats", counters.lateHeartbeats());
        section.addProperty("records_published", counters.recordsPublished());
        section.addProperty("removals_confirmed", counters.removalsConfirmed());
        section.addProperty("removals_unconfirmed", counters.removalsUnconfirmed());
        section.addProperty("removals_acknowledged_alone", counters.removalsAcknowledgedAlone());
        section.addProperty("replicas_lapsed", counters.lapsed());
        report.add("registry", section);
        return this;
    }

    /** Returns the report as UTF-8 encoded JSON. */
    byte[] toJson() {
        return report.toString().getBytes(StandardCharsets.UTF_8);
    }
}
