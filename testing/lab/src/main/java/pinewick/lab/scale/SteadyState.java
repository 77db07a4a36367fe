package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What each role spends while nothing happens but heartbeats. */
final class SteadyState {
    private static final double MS_A_SECOND = 1_000;

    private final FleetUnderTest fleet;
    private final ScalePlan plan;
    private final JsonObject json = new JsonObject();

    SteadyState(FleetUnderTest fleet) {
        this.fleet = fleet;
        this.plan = fleet.plan();
    }

    /** Looks at it for the plan's two windows. */
    JsonObject measure() throws IOException, InterruptedException {
        processorTime();
        bytes();
        state();
        return json;
    }

    private void processorTime() throws IOException, InterruptedException {
        restartCounts("messages");
        fleet.swarm().takeHeartbeats();
        double hollowBefore = fleet.hollow().cpuMs();
        double loopsBefore = HollowFleet.sum(fleet.hollow().ask("figures"), "threadCpuMs");
        List<ProcessUsage> controllers = usages(fleet.controllers());
        List<ProcessUsage> routers = usages(fleet.realRouters());
        long fromNs = System.nanoTime();
        Thread.sleep((long) (plan.windowSeconds() * MS_A_SECOND));
        double hollowSpent = fleet.hollow().cpuMs() - hollowBefore;
        List<ProcessUsage> controllersAfter = usages(fleet.controllers());
        List<ProcessUsage> routersAfter = usages(fleet.realRouters());
        double ms = (System.nanoTime() - fromNs) / 1e6;
        double loopsSpent = HollowFleet.sum(fleet.hollow().ask("figures"), "threadCpuMs") - loopsBefore;
        json.addProperty("windowSeconds", round(ms / MS_A_SECOND));
        json.addProperty("hollowRouterCpuPercent", round(100 * hollowSpent / ms / plan.routers()));
        json.addProperty("hollowRouterThreadsCpuPercent", round(100 * loopsSpent / ms / plan.routers()));
        spent("controller", controllers, controllersAfter, ms);
        spent("realRouter", routers, routersAfter, ms);
        ReplicaSwarm.Heartbeats heartbeats = fleet.swarm().takeHeartbeats();
        double seconds = ms / MS_A_SECOND;
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

    private void spent(String role, List<ProcessUsage> before, List<ProcessUsage> after, double ms) {
        double cpuMs = 0;
        double waits = 0;
        long peakKb = 0;
        for (int i = 0; i < before.size(); i++) {
            cpuMs += after.get(i).cpuMs() - before.get(i).cpuMs();
            waits += after.get(i).waitsSince(before.get(i));
            peakKb = Math.max(peakKb, after.get(i).peakKb());
        }
        json.addProperty(role + "CpuPercent", round(100 * cpuMs / ms / before.size()));
        json.addProperty(role + "WaitsASecond", round(waits / ms * MS_A_SECOND / before.size()));
        json.addProperty(role + "PeakMb", peakKb / 1_024);
    }

    private void bytes() throws IOException, InterruptedException {
        restartCounts("bytes");
        long fromNs = System.nanoTime();
        Thread.sleep((long) (plan.bytesSeconds() * MS_A_SECOND));
        Map<String, long[]> routers = fleet.hollow().traffic();
        Map<String, long[]> controller = new TreeMap<>();
        fleet.observer().traffic().addTo(controller);
        double seconds = (System.nanoTime() - fromNs) / 1e9;
        List<JsonObject> each = fleet.hollow().ask("traffic");
        json.addProperty("routerMostBytesOutASecond", Math.round(HollowFleet.most(each, "mostBytesOut") / seconds));
        json.addProperty("routerMostBytesInASecond", Math.round(HollowFleet.most(each, "mostBytesIn") / seconds));
        perRouter(routers, seconds);
        perController(routers, controller, seconds);
        json.add("routerTraffic", typed(routers, seconds * plan.routers()));
        json.add("observerTraffic", typed(controller, seconds));
        restartCounts("messages");
    }

    private void restartCounts(String what) throws IOException {
        fleet.hollow().ask("restart-count " + what);
        fleet.observer().traffic().restart(what.equals("bytes"));
    }

    private void perRouter(Map<String, long[]> sums, double seconds) {
        double routerSeconds = seconds * plan.routers();
        json.addProperty("routerMessagesOutASecond", round(sum(sums, "TO_", 0) / routerSeconds));
        json.addProperty("routerMessagesInASecond", round(sum(sums, "FROM_", 0) / routerSeconds));
        json.addProperty("routerBytesOutASecond", Math.round(sum(sums, "TO_", 1) / routerSeconds));
        json.addProperty("routerBytesInASecond", Math.round(sum(sums, "FROM_", 1) / routerSeconds));
    }

    /**
     * Between controllers and routers as the routers count; between controllers as the hollow one does for one of them.
     */
    private void perController(Map<String, long[]> routers, Map<String, long[]> observer, double seconds) {
        int others = ScalePlan.CONTROLLERS + 1;
        double each = seconds * others;
        json.addProperty("controllerToRoutersBytesASecond", Math.round(sum(routers, "FROM_CONTROLLER", 1) / each));
        json.addProperty("controllerFromRoutersBytesASecond", Math.round(sum(routers, "TO_CONTROLLER", 1) / each));
        json.addProperty("controllerToRoutersMessagesASecond", round(sum(routers, "FROM_CONTROLLER", 0) / each));
        json.addProperty("controllerFromRoutersMessagesASecond", round(sum(routers, "TO_CONTROLLER", 0) / each));
        double fromEach = seconds * ScalePlan.CONTROLLERS;
        json.addProperty(
                "controllerToControllerBytesASecond", Math.round(sum(observer, "FROM_CONTROLLER", 1) / fromEach));
        json.addProperty(
                "controllerToControllerMessagesASecond", round(sum(observer, "FROM_CONTROLLER", 0) / fromEach));
    }

    private static long sum(Map<String, long[]> sums, String ways, int figure) {
        return sums.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(ways))
                .mapToLong(entry -> entry.getValue()[figure])
                .sum();
    }

    /** By way and type: messages a second, bytes a message, share that went over TCP. */
    private static JsonObject typed(Map<String, long[]> sums, double processSeconds) {
        JsonObject types = new JsonObject();
        sums.forEach((name, figures) -> {
            JsonObject type = new JsonObject();
            type.addProperty("aSecond", round(figures[0] / processSeconds));
            type.addProperty("bytes", figures[0] == 0 ? 0 : figures[1] / figures[0]);
            type.addProperty("overTcp", figures[2]);
            types.add(name, type);
        });
        return types;
    }

    private void state() throws IOException, InterruptedException {
        List<JsonObject> figures = fleet.hollow().ask("collect");
        for (String name : List.of("records", "version", "peersLeast", "estimateLeast", "boundLeast")) {
            json.addProperty(name, HollowFleet.least(figures, name));
        }
        for (String name : List.of("recordsMost", "peersMost", "estimateMost", "boundMost", "lapsed", "lapses")) {
            json.addProperty(name, HollowFleet.most(figures, name));
        }
        for (String name : List.of("dropped", "malformed", "failedConnections")) {
            json.addProperty(name, Math.round(HollowFleet.sum(figures, name)));
        }
        json.addProperty(
                "hollowRouterHeapKb", Math.round(HollowFleet.sum(figures, "heapBytes") / 1_024 / plan.routers()));
        json.addProperty(
                "hollowRouterResidentKb",
                fleet.hollow().workers().stream()
                                .mapToLong(worker -> worker.usage().residentKb())
                                .sum()
                        / plan.routers());
    }

    /** Three digits after the point. */
    static double round(double figure) {
        return Double.isFinite(figure) ? Math.round(figure * 1_000) / 1_000.0 : -1;
    }
}
