package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Measures the resource use of each role while the only activity is heartbeats. */
final class SteadyState {
    private static final double MS_PER_SECOND = 1_000;

    private final FleetUnderTest fleet;
    private final ScalePlan plan;
    private final JsonObject json = new JsonObject();

    SteadyState(FleetUnderTest fleet) {
        this.fleet = fleet;
        this.plan = fleet.plan();
    }

    /** Measures CPU time and then traffic, each in its own window of the plan, and finally the routers' state. */
    JsonObject measure() throws IOException, InterruptedException {
        measureCpu();
        measureBytes();
        measureState();
        return json;
    }

    private void measureCpu() throws IOException, InterruptedException {
        resetCounters("messages");
        fleet.swarm().takeHeartbeats();
        double hollowBefore = fleet.hollow().cpuMs();
        double loopsBefore = HollowFleet.sum(fleet.hollow().send("figures"), "threadCpuMs");
        List<ProcessUsage> controllers = usages(fleet.controllers());
        List<ProcessUsage> routers = usages(fleet.realRouters());
        long fromNs = System.nanoTime();
        Thread.sleep((long) (plan.windowSeconds() * MS_PER_SECOND));
        double hollowSpent = fleet.hollow().cpuMs() - hollowBefore;
        List<ProcessUsage> controllersAfter = usages(fleet.controllers());
        List<ProcessUsage> routersAfter = usages(fleet.realRouters());
        double ms = (System.nanoTime() - fromNs) / 1e6;
        double loopsSpent = HollowFleet.sum(fleet.hollow().send("figures"), "threadCpuMs") - loopsBefore;
        json.addProperty("windowSeconds", round(ms / MS_PER_SECOND));
        json.addProperty("hollowRouterCpuPercent", round(100 * hollowSpent / ms / plan.routers()));
        json.addProperty("hollowRouterThreadsCpuPercent", round(100 * loopsSpent / ms / plan.routers()));
        addUsage("controller", controllers, controllersAfter, ms);
        addUsage("realRouter", routers, routersAfter, ms);
        ReplicaSwarm.Heartbeats heartbeats = fleet.swarm().takeHeartbeats();
        double seconds = ms / MS_PER_SECOND;
        json.addProperty("heartbeatsASecond", round(heartbeats.acknowledged() / seconds));
        json.addProperty(
                "replicasByController", Arrays.toString(fleet.swarm().replicasByController(ScalePlan.CONTROLLERS)));
        json.addProperty("heartbeatsFailed", heartbeats.failed());
        json.addProperty("heartbeatMedianMs", round(heartbeats.medianMs()));
        json.addProperty("heartbeatP99Ms", round(heartbeats.p99Ms()));
        double perController = seconds * ScalePlan.CONTROLLERS;
        json.addProperty("controllerHttpBytesInASecond", Math.round(heartbeats.bytesOut() / perController));
        json.addProperty("controllerHttpBytesOutASecond", Math.round(heartbeats.bytesIn() / perController));
    }

    private static List<ProcessUsage> usages(List<SystemProcess> processes) {
        return processes.stream().map(SystemProcess::usage).toList();
    }

    private void addUsage(String role, List<ProcessUsage> before, List<ProcessUsage> after, double ms) {
        double cpuMs = 0;
        double waits = 0;
        long peakKb = 0;
        for (int i = 0; i < before.size(); i++) {
            cpuMs += after.get(i).cpuMs() - before.get(i).cpuMs();
            waits += after.get(i).waitsSince(before.get(i));
            peakKb = Math.max(peakKb, after.get(i).peakKb());
        }
        json.addProperty(role + "CpuPercent", round(100 * cpuMs / ms / before.size()));
        json.addProperty(role + "WaitsASecond", round(waits / ms * MS_PER_SECOND / before.size()));
        json.addProperty(role + "PeakMb", peakKb / 1_024);
    }

    private void measureBytes() throws IOException, InterruptedException {
        resetCounters("bytes");
        long fromNs = System.nanoTime();
        Thread.sleep((long) (plan.bytesSeconds() * MS_PER_SECOND));
        Map<String, long[]> routers = fleet.hollow().traffic();
        Map<String, long[]> controller = new TreeMap<>();
        fleet.observer().traffic().addTo(controller);
        double seconds = (System.nanoTime() - fromNs) / 1e9;
        List<JsonObject> perWorker = fleet.hollow().send("traffic");
        json.addProperty("routerMostBytesOutASecond", Math.round(HollowFleet.max(perWorker, "mostBytesOut") / seconds));
        json.addProperty("routerMostBytesInASecond", Math.round(HollowFleet.max(perWorker, "mostBytesIn") / seconds));
        addPerRouter(routers, seconds);
        perController(routers, controller, seconds);
        json.add("routerTraffic", byType(routers, seconds * plan.routers()));
        json.add("observerTraffic", byType(controller, seconds));
        resetCounters("messages");
    }

    private void resetCounters(String mode) throws IOException {
        fleet.hollow().send("restart-count " + mode);
        fleet.observer().traffic().reset(mode.equals("bytes"));
    }

    private void addPerRouter(Map<String, long[]> sums, double seconds) {
        double routerSeconds = seconds * plan.routers();
        json.addProperty("routerMessagesOutASecond", round(sum(sums, "TO_", 0) / routerSeconds));
        json.addProperty("routerMessagesInASecond", round(sum(sums, "FROM_", 0) / routerSeconds));
        json.addProperty("routerBytesOutASecond", Math.round(sum(sums, "TO_", 1) / routerSeconds));
        json.addProperty("routerBytesInASecond", Math.round(sum(sums, "FROM_", 1) / routerSeconds));
    }

    /**
     * Traffic between controllers and routers comes from the routers' counters. Traffic between controllers comes from
     * the hollow controller and is given per controller.
     */
    private void perController(Map<String, long[]> routers, Map<String, long[]> observer, double seconds) {
        int others = ScalePlan.CONTROLLERS + 1;
        double controllerSeconds = seconds * others;
        json.addProperty(
                "controllerToRoutersBytesASecond", Math.round(sum(routers, "FROM_CONTROLLER", 1) / controllerSeconds));
        json.addProperty(
                "controllerFromRoutersBytesASecond", Math.round(sum(routers, "TO_CONTROLLER", 1) / controllerSeconds));
        json.addProperty(
                "controllerToRoutersMessagesASecond", round(sum(routers, "FROM_CONTROLLER", 0) / controllerSeconds));
        json.addProperty(
                "controllerFromRoutersMessagesASecond", round(sum(routers, "TO_CONTROLLER", 0) / controllerSeconds));
        double fromEach = seconds * ScalePlan.CONTROLLERS;
        json.addProperty(
                "controllerToControllerBytesASecond", Math.round(sum(observer, "FROM_CONTROLLER", 1) / fromEach));
        json.addProperty(
                "controllerToControllerMessagesASecond", round(sum(observer, "FROM_CONTROLLER", 0) / fromEach));
    }

    private static long sum(Map<String, long[]> sums, String keyPrefix, int index) {
        return sums.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(keyPrefix))
                .mapToLong(entry -> entry.getValue()[index])
                .sum();
    }

    /** By direction and type: messages per second, bytes per message, number of messages sent over TCP. */
    private static JsonObject byType(Map<String, long[]> sums, double processSeconds) {
        JsonObject types = new JsonObject();
        sums.forEach((name, counts) -> {
            JsonObject type = new JsonObject();
            type.addProperty("aSecond", round(counts[0] / processSeconds));
            type.addProperty("bytes", counts[0] == 0 ? 0 : counts[1] / counts[0]);
            type.addProperty("overTcp", counts[2]);
            types.add(name, type);
        });
        return types;
    }

    private void measureState() throws IOException, InterruptedException {
        List<JsonObject> counts = fleet.hollow().send("collect");
        for (String name : List.of("records", "version", "peersLeast", "estimateLeast", "boundLeast")) {
            json.addProperty(name, HollowFleet.min(counts, name));
        }
        for (String name : List.of("recordsMost", "peersMost", "estimateMost", "boundMost", "lapsed", "lapses")) {
            json.addProperty(name, HollowFleet.max(counts, name));
        }
        for (String name : List.of("dropped", "malformed", "failedConnections")) {
            json.addProperty(name, Math.round(HollowFleet.sum(counts, name)));
        }
        json.addProperty(
                "hollowRouterHeapKb", Math.round(HollowFleet.sum(counts, "heapBytes") / 1_024 / plan.routers()));
        json.addProperty(
                "hollowRouterResidentKb",
                fleet.hollow().workers().stream()
                                .mapToLong(worker -> worker.usage().residentKb())
                                .sum()
                        / plan.routers());
    }

    /** Rounds to three decimal places; -1 for a value that is not finite. */
    static double round(double value) {
        return Double.isFinite(value) ? Math.round(value * 1_000) / 1_000.0 : -1;
    }
}
