package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pinewick.model.SocketAddress;

/** Measures how long configurations take to be in force on every router, and the traffic and CPU time they cost. */
final class ConfigurationTrial {
    private static final long TIMEOUT_MS = 20_000;
    private static final long SETTLE_MS = 1_000;
    private static final int NOT_FOUND = 404;

    private final FleetUnderTest fleet;
    private final double steadyCpuPercent;
    private double cpuMs;
    private long fromNs;

    /** @param steadyCpuPercent CPU usage of a hollow router in steady state, percent of a core */
    ConfigurationTrial(FleetUnderTest fleet, double steadyCpuPercent) {
        this.fleet = fleet;
        this.steadyCpuPercent = steadyCpuPercent;
    }

    /** Measures both sizes, each first as a full replacement and then with small updates. */
    JsonObject measure() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        for (int routes : List.of(fleet.plan().routes(), fleet.plan().manyRoutes())) {
            json.add("whole of " + routes + " routes", measureReplacement(routes));
            json.add("one route of " + routes, measureUpdates());
        }
        json.addProperty(
                "committedBy", fleet.operator().committedByStore() ? "the controllers' store" : "a hollow controller");
        return json;
    }

    private JsonObject measureReplacement(int routes) throws IOException, InterruptedException {
        resetCounters();
        JsonObject json = new JsonObject();
        PropagationDelay propagation = propagate(fleet.operator().replace(routes), json);
        json.add("hollowRouters", propagation.toJson());
        addTraffic(json, 1);
        return json;
    }

    private JsonObject measureUpdates() throws IOException, InterruptedException {
        resetCounters();
        JsonObject json = new JsonObject();
        List<PropagationDelay> propagations = new ArrayList<>();
        for (int i = 0; i < fleet.plan().changes(); i++) {
            propagations.add(propagate(fleet.operator().update(), json));
        }
        json.add("hollowRouters", PropagationDelay.max(propagations).toJson());
        json.addProperty("changes", propagations.size());
        addTraffic(json, propagations.size());
        return json;
    }

    private PropagationDelay propagate(Operator.Change change, JsonObject json)
            throws IOException, InterruptedException {
        long[] realRoutersNs = new long[1];
        Thread probe = new Thread(() -> realRoutersNs[0] = realRoutersInForceNs(change.version()), "probe");
        probe.start();
        PropagationDelay propagation =
                fleet.hollow().await("in-force " + change.version(), change.sentNs(), TIMEOUT_MS);
        probe.join();
        double realMs = realRoutersNs[0] == 0 ? -1 : (realRoutersNs[0] - change.sentNs()) / 1e6;
        double previousMs =
                json.has("realRoutersLastMs") ? json.get("realRoutersLastMs").getAsDouble() : 0;
        json.addProperty(
                "realRoutersLastMs", realMs < 0 || previousMs < 0 ? -1 : Math.max(previousMs, Math.round(realMs)));
        json.addProperty("acknowledgedMs", Math.round((change.acknowledgedNs() - change.sentNs()) / 1e6));
        return propagation;
    }

    /** When the last real router served the route added in a version, nanoseconds; 0 if any did not in time. */
    private long realRoutersInForceNs(long version) {
        long lastNs = 0;
        for (int number = 0; number < fleet.realRouters().size(); number++) {
            SocketAddress frontend = fleet.addresses().frontend(number);
            try {
                if (!FleetUnderTest.awaitCondition(() -> hasRoute(frontend, version), TIMEOUT_MS)) {
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

    private boolean hasRoute(SocketAddress frontend, long version) {
        int status = ProbeRequest.status(frontend, SampleConfiguration.probePath(version));
        return status != 0 && status != NOT_FOUND;
    }

    private void resetCounters() throws IOException {
        fleet.hollow().send("restart-count bytes");
        fleet.observer().traffic().reset(true);
        cpuMs = fleet.hollow().cpuMs();
        fromNs = System.nanoTime();
    }

    /** Adds the configuration traffic and the CPU time beyond the steady state, per router and change. */
    private void addTraffic(JsonObject json, int changes) throws IOException, InterruptedException {
        Thread.sleep(SETTLE_MS);
        double ms = (System.nanoTime() - fromNs) / 1e6;
        double spentMs = (fleet.hollow().cpuMs() - cpuMs) / fleet.plan().routers() - ms * steadyCpuPercent / 100;
        json.addProperty("cpuMsARouter", SteadyState.round(spentMs / changes));
        Map<String, long[]> sums = fleet.hollow().traffic();
        double routerChanges = (double) changes * fleet.plan().routers();
        long bytesOut = 0;
        long bytesIn = 0;
        long messagesOut = 0;
        for (Map.Entry<String, long[]> entry : sums.entrySet()) {
            if (entry.getKey().contains(" Configuration")) {
                boolean outbound = entry.getKey().startsWith("TO_");
                bytesOut += outbound ? entry.getValue()[1] : 0;
                bytesIn += outbound ? 0 : entry.getValue()[1];
                messagesOut += outbound ? entry.getValue()[0] : 0;
            }
        }
        json.addProperty("bytesOutARouter", Math.round(bytesOut / routerChanges));
        json.addProperty("bytesInARouter", Math.round(bytesIn / routerChanges));
        json.addProperty("messagesOutARouter", SteadyState.round(messagesOut / routerChanges));
        fleet.hollow().send("restart-count messages");
        fleet.observer().traffic().reset(false);
    }
}
