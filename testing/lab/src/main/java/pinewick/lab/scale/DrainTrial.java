package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Measures how long a replica's drain takes to be acknowledged, and to reach every router. */
final class DrainTrial {
    private static final long TIMEOUT_MS = 10_000;
    private static final int CONCURRENT_DIVISOR = 10;

    private static final long SETTLE_MS = 1_000;
    private static final double NS_PER_MS = 1e6;

    private final FleetUnderTest fleet;
    private final double steadyCpuPercent;
    private int nextReplica;

    /** @param steadyCpuPercent CPU usage of a hollow router in steady state, percent of a core */
    DrainTrial(FleetUnderTest fleet, double steadyCpuPercent) {
        this.fleet = fleet;
        this.steadyCpuPercent = steadyCpuPercent;
    }

    /** Drains some replicas one after the other, then a tenth of all at the same time. */
    JsonObject measure() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        json.add("one at a time", measureRounds(fleet.plan().drains(), 1));
        json.add("a tenth at once", measureRounds(1, Math.max(1, fleet.plan().replicas() / CONCURRENT_DIVISOR)));
        return json;
    }

    /** Adds the dissemination traffic and the CPU time beyond the steady state, per router and drain. */
    private JsonObject measureRounds(int rounds, int concurrent) throws IOException, InterruptedException {
        fleet.hollow().send("restart-count bytes");
        double cpuMs = fleet.hollow().cpuMs();
        long fromNs = System.nanoTime();
        JsonObject json = toJson(drainReplicas(rounds, concurrent));
        double cores = (fleet.hollow().cpuMs() - cpuMs) * NS_PER_MS / (System.nanoTime() - fromNs);
        json.addProperty("hollowCores", SteadyState.round(cores));
        Thread.sleep(SETTLE_MS);
        double ms = (System.nanoTime() - fromNs) / NS_PER_MS;
        double spentMs = (fleet.hollow().cpuMs() - cpuMs) / fleet.plan().routers() - ms * steadyCpuPercent / 100;
        int records = rounds * concurrent;
        json.addProperty("cpuMsARouterARecord", SteadyState.round(spentMs / records));
        traffic(json, (double) records * fleet.plan().routers());
        fleet.hollow().send("restart-count messages");
        return json;
    }

    private void traffic(JsonObject json, double routerRecords) throws IOException {
        long[] out = new long[2];
        fleet.hollow().traffic().forEach((name, counts) -> {
            if (name.startsWith("TO_") && (name.contains(" Replica") || name.contains(" Bucket"))) {
                out[0] += counts[0];
                out[1] += counts[1];
            }
        });
        json.addProperty("messagesOutARouterARecord", SteadyState.round(out[0] / routerRecords));
        json.addProperty("bytesOutARouterARecord", Math.round(out[1] / routerRecords));
    }

    /**
     * Delays of one drain, measured from its start.
     *
     * @param acknowledgedMs delay until the acknowledgement, milliseconds; negative if there was none
     * @param propagation delay until the routers knew of it
     */
    record Drain(double acknowledgedMs, PropagationDelay propagation) {}

    /** Drains replicas in rounds, a number of them at the same time. */
    List<Drain> drainReplicas(int rounds, int concurrent) throws IOException, InterruptedException {
        List<Drain> drains = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            List<HollowReplica> drainingReplicas = new ArrayList<>();
            for (int i = 0; i < concurrent; i++) {
                int number = nextReplica++ % fleet.swarm().size();
                drainingReplicas.add(fleet.swarm().replica(number));
                fleet.swarm().execute(number, replica -> replica.drain(HollowReplica.nowMs()));
            }
            for (HollowReplica replica : drainingReplicas) {
                drains.add(awaitDrain(replica));
            }
        }
        return drains;
    }

    private Drain awaitDrain(HollowReplica replica) throws IOException, InterruptedException {
        FleetUnderTest.awaitCondition(() -> replica.drainRequestedNs() != 0, TIMEOUT_MS);
        long requestedNs = replica.drainRequestedNs();
        PropagationDelay propagation =
                fleet.hollow().await("draining " + replica.instanceId(), requestedNs, TIMEOUT_MS);
        FleetUnderTest.awaitCondition(() -> replica.drainAcknowledgedNs() != 0, TIMEOUT_MS);
        long acknowledgedNs = replica.drainAcknowledgedNs();
        return new Drain(acknowledgedNs == 0 ? -1 : (acknowledgedNs - requestedNs) / 1e6, propagation);
    }

    /** Replaces the drained replicas with new instances. */
    void replaceDrained() {
        for (int number = 0; number < Math.min(nextReplica, fleet.swarm().size()); number++) {
            fleet.swarm().execute(number, replica -> replica.replace(HollowReplica.nowMs()));
        }
    }

    static JsonObject toJson(List<Drain> drains) {
        JsonObject json = PropagationDelay.max(
                        drains.stream().map(Drain::propagation).toList())
                .toJson();
        json.addProperty("drains", drains.size());
        json.addProperty(
                "acknowledgedMostMs",
                Math.round(
                        drains.stream().mapToDouble(Drain::acknowledgedMs).max().orElse(-1)));
        json.addProperty(
                "unacknowledged",
                drains.stream().filter(drain -> drain.acknowledgedMs < 0).count());
        json.addProperty(
                "afterAcknowledgementMostMs",
                Math.round(drains.stream()
                        .filter(drain -> drain.acknowledgedMs >= 0)
                        .mapToDouble(drain -> drain.propagation.lastMs() - drain.acknowledgedMs)
                        .max()
                        .orElse(-1)));
        return json;
    }
}
