package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** How long the announced end of a replica takes to be acknowledged, and to be known to every router. */
final class DrainTrial {
    private static final long LONGEST_MS = 10_000;
    private static final int PART_AT_ONCE = 10;

    private static final long AFTERWARDS_MS = 1_000;
    private static final double NS_A_MS = 1e6;

    private final FleetUnderTest fleet;
    private final double steadyCpuPercent;
    private int next;

    /** @param steadyCpuPercent what a hollow router spends without changes, percent of a core */
    DrainTrial(FleetUnderTest fleet, double steadyCpuPercent) {
        this.fleet = fleet;
        this.steadyCpuPercent = steadyCpuPercent;
    }

    /** Some one after the other, then a tenth of all at once. */
    JsonObject measure() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        json.add("one at a time", measured(fleet.plan().drains(), 1));
        json.add("a tenth at once", measured(1, Math.max(1, fleet.plan().replicas() / PART_AT_ONCE)));
        return json;
    }

    /** With what a router sent, took and computed for each, beyond what it does anyway. */
    private JsonObject measured(int rounds, int atOnce) throws IOException, InterruptedException {
        fleet.hollow().ask("restart-count bytes");
        double cpuMs = fleet.hollow().cpuMs();
        long fromNs = System.nanoTime();
        JsonObject json = times(drains(rounds, atOnce));
        double cores = (fleet.hollow().cpuMs() - cpuMs) * NS_A_MS / (System.nanoTime() - fromNs);
        json.addProperty("hollowCores", SteadyState.round(cores));
        Thread.sleep(AFTERWARDS_MS);
        double ms = (System.nanoTime() - fromNs) / NS_A_MS;
        double spentMs = (fleet.hollow().cpuMs() - cpuMs) / fleet.plan().routers() - ms * steadyCpuPercent / 100;
        int records = rounds * atOnce;
        json.addProperty("cpuMsARouterARecord", SteadyState.round(spentMs / records));
        traffic(json, (double) records * fleet.plan().routers());
        fleet.hollow().ask("restart-count messages");
        return json;
    }

    private void traffic(JsonObject json, double routerRecords) throws IOException {
        long[] out = new long[2];
        fleet.hollow().traffic().forEach((name, figures) -> {
            if (name.startsWith("TO_") && (name.contains(" Replica") || name.contains(" Bucket"))) {
                out[0] += figures[0];
                out[1] += figures[1];
            }
        });
        json.addProperty("messagesOutARouterARecord", SteadyState.round(out[0] / routerRecords));
        json.addProperty("bytesOutARouterARecord", Math.round(out[1] / routerRecords));
    }

    /**
     * When announced ends were acknowledged and known, from the moment of the call.
     *
     * @param acknowledgedMs until the acknowledgement; negative if there was none
     * @param known until known to the routers
     */
    record Drain(double acknowledgedMs, PropagationDelay known) {}

    /** Lets replicas drain, a number of them at a time, and replaces them. */
    List<Drain> drains(int rounds, int atOnce) throws IOException, InterruptedException {
        List<Drain> drains = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            List<HollowReplica> leaving = new ArrayList<>();
            for (int i = 0; i < atOnce; i++) {
                int number = next++ % fleet.swarm().size();
                leaving.add(fleet.swarm().replica(number));
                fleet.swarm().on(number, replica -> replica.drain(HollowReplica.nowMs()));
            }
            for (HollowReplica replica : leaving) {
                drains.add(follow(replica));
            }
        }
        return drains;
    }

    private Drain follow(HollowReplica replica) throws IOException, InterruptedException {
        FleetUnderTest.until(() -> replica.drainAskedNs() != 0, LONGEST_MS);
        long askedNs = replica.drainAskedNs();
        PropagationDelay known = fleet.hollow().await("draining " + replica.instanceId(), askedNs, LONGEST_MS);
        FleetUnderTest.until(() -> replica.drainAcknowledgedNs() != 0, LONGEST_MS);
        long acknowledgedNs = replica.drainAcknowledgedNs();
        return new Drain(acknowledgedNs == 0 ? -1 : (acknowledgedNs - askedNs) / 1e6, known);
    }

    /** Puts new replicas in the place of those that drained. */
    void replaceDrained() {
        for (int number = 0; number < Math.min(next, fleet.swarm().size()); number++) {
            fleet.swarm().on(number, replica -> replica.replace(HollowReplica.nowMs()));
        }
    }

    static JsonObject times(List<Drain> drains) {
        JsonObject json = PropagationDelay.worst(
                        drains.stream().map(Drain::known).toList())
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
                        .mapToDouble(drain -> drain.known.lastMs() - drain.acknowledgedMs)
                        .max()
                        .orElse(-1)));
        return json;
    }
}
