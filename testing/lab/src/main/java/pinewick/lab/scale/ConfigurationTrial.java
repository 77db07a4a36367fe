package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pinewick.model.SocketAddress;

/** How long configurations take to be in force at every router, and what that sends. */
final class ConfigurationTrial {
    private static final long LONGEST_MS = 20_000;
    private static final long AFTERWARDS_MS = 1_000;
    private static final int NOT_FOUND = 404;

    private final FleetUnderTest fleet;
    private final double steadyCpuPercent;
    private double cpuMs;
    private long fromNs;

    /** @param steadyCpuPercent what a hollow router spends without changes, percent of a core */
    ConfigurationTrial(FleetUnderTest fleet, double steadyCpuPercent) {
        this.fleet = fleet;
        this.steadyCpuPercent = steadyCpuPercent;
    }

    /** Both sizes, each whole and then with small changes. */
    JsonObject measure() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        for (int routes : List.of(fleet.plan().routes(), fleet.plan().manyRoutes())) {
            json.add("whole of " + routes + " routes", whole(routes));
            json.add("one route of " + routes, small());
        }
        json.addProperty("committedBy", fleet.operator().byStore() ? "the controllers' store" : "a hollow controller");
        return json;
    }

    private JsonObject whole(int routes) throws IOException, InterruptedException {
        restartCounts();
        JsonObject json = new JsonObject();
        PropagationDelay spread = spread(fleet.operator().replace(routes), json);
        json.add("hollowRouters", spread.toJson());
        traffic(json, 1);
        return json;
    }

    private JsonObject small() throws IOException, InterruptedException {
        restartCounts();
        JsonObject json = new JsonObject();
        List<PropagationDelay> spreads = new ArrayList<>();
        for (int i = 0; i < fleet.plan().changes(); i++) {
            spreads.add(spread(fleet.operator().update(), json));
        }
        json.add("hollowRouters", PropagationDelay.worst(spreads).toJson());
        json.addProperty("changes", spreads.size());
        traffic(json, spreads.size());
        return json;
    }

    private PropagationDelay spread(Operator.Change change, JsonObject json) throws IOException, InterruptedException {
        long[] realNs = new long[1];
        Thread probe = new Thread(() -> realNs[0] = realRoutersInForceNs(change.version()), "probe");
        probe.start();
        PropagationDelay spread = fleet.hollow().await("in-force " + change.version(), change.askedNs(), LONGEST_MS);
        probe.join();
        double realMs = realNs[0] == 0 ? -1 : (realNs[0] - change.askedNs()) / 1e6;
        double before =
                json.has("realRoutersLastMs") ? json.get("realRoutersLastMs").getAsDouble() : 0;
        json.addProperty("realRoutersLastMs", realMs < 0 || before < 0 ? -1 : Math.max(before, Math.round(realMs)));
        json.addProperty("acknowledgedMs", Math.round((change.acknowledgedNs() - change.askedNs()) / 1e6));
        return spread;
    }

    /** When the last real router knew the route that came with a version, 0 if one never did. */
    private long realRoutersInForceNs(long version) {
        long lastNs = 0;
        for (int number = 0; number < fleet.realRouters().size(); number++) {
            SocketAddress frontend = fleet.addresses().frontend(number);
            try {
                if (!FleetUnderTest.until(() -> knows(frontend, version), LONGEST_MS)) {
                    return 0;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 0;
            }
            lastNs = System.nanoTime();
        }
        return lastNs;
    }

    private boolean knows(SocketAddress frontend, long version) {
        int status = ProbeRequest.status(frontend, SampleConfiguration.probePath(version));
        return status != 0 && status != NOT_FOUND;
    }

    private void restartCounts() throws IOException {
        fleet.hollow().ask("restart-count bytes");
        fleet.observer().traffic().restart(true);
        cpuMs = fleet.hollow().cpuMs();
        fromNs = System.nanoTime();
    }

    /** What a router sent and took for one change beyond what it sends anyway. */
    private void traffic(JsonObject json, int changes) throws IOException, InterruptedException {
        Thread.sleep(AFTERWARDS_MS);
        double ms = (System.nanoTime() - fromNs) / 1e6;
        double spentMs = (fleet.hollow().cpuMs() - cpuMs) / fleet.plan().routers() - ms * steadyCpuPercent / 100;
        json.addProperty("cpuMsARouter", SteadyState.round(spentMs / changes));
        Map<String, long[]> sums = fleet.hollow().traffic();
        double each = (double) changes * fleet.plan().routers();
        long bytesOut = 0;
        long bytesIn = 0;
        long messagesOut = 0;
        for (Map.Entry<String, long[]> entry : sums.entrySet()) {
            if (entry.getKey().contains(" Configuration")) {
                boolean out = entry.getKey().startsWith("TO_");
                bytesOut += out ? entry.getValue()[1] : 0;
                bytesIn += out ? 0 : entry.getValue()[1];
                messagesOut += out ? entry.getValue()[0] : 0;
            }
        }
        json.addProperty("bytesOutARouter", Math.round(bytesOut / each));
        json.addProperty("bytesInARouter", Math.round(bytesIn / each));
        json.addProperty("messagesOutARouter", SteadyState.round(messagesOut / each));
        fleet.hollow().ask("restart-count messages");
        fleet.observer().traffic().restart(false);
    }
}
