package pinewick.lab.scale;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** Compares runs of several fleet sizes and lists the measurements that exceed the required bounds. */
public final class ScaleReport {
    private static final double ROUTER_CPU_PERCENT = 1.9;
    private static final double ROUTER_BYTES_PER_SECOND = 3_000;
    private static final long ROUTER_MB = 256;
    /** Required limit for a configuration to take effect on every router of the fleet. */
    private static final double APPLY_MS = 18_000;
    /** Limit for a router that does not share its processor, from the settings of the sites. */
    private static final double REAL_APPLY_MS = 2_000;

    private static final double DRAIN_MS = 2_000;
    private static final double MAX_GROWTH = 1.25;
    private static final double CORES = 4;

    /** Rows of the table: the label, and the path of the value in the JSON of a run. */
    private static final String[][] ROWS = {
        {"replica records known everywhere after, ms", "allReplicasKnownMs"},
        {"records in a router", "steady/records"},
        {"peers in a router's view, most", "steady/peersMost"},
        {"routers estimated, least", "steady/estimateLeast"},
        {"routers estimated, most", "steady/estimateMost"},
        {"upper bound of routers, most", "steady/boundMost"},
        {"hollow router: CPU, % of a core", "steady/hollowRouterCpuPercent"},
        {"hollow router: its threads alone, %", "steady/hollowRouterThreadsCpuPercent"},
        {"hollow router: heap after collection, KB", "steady/hollowRouterHeapKb"},
        {"real router, no traffic: CPU, %", "steady/realRouterCpuPercent"},
        {"real router: waits a second", "steady/realRouterWaitsASecond"},
        {"real router: peak resident at the end, MB", "memoryAtTheEnd/realRouterPeakMb"},
        {"router: messages out a second", "steady/routerMessagesOutASecond"},
        {"router: messages in a second", "steady/routerMessagesInASecond"},
        {"router: bytes out a second", "steady/routerBytesOutASecond"},
        {"router: bytes in a second", "steady/routerBytesInASecond"},
        {"router: bytes out a second, the busiest", "steady/routerMostBytesOutASecond"},
        {"controller: CPU, %", "steady/controllerCpuPercent"},
        {"controller: waits a second", "steady/controllerWaitsASecond"},
        {"controller: peak resident at the end, MB", "memoryAtTheEnd/controllerPeakMb"},
        {"controller: heartbeats in a second, HTTP bytes", "steady/controllerHttpBytesInASecond"},
        {"controller: bytes a second to each other controller", "steady/controllerToControllerBytesASecond"},
        {"controller: bytes a second to all routers", "steady/controllerToRoutersBytesASecond"},
        {"controller: bytes a second from all routers", "steady/controllerFromRoutersBytesASecond"},
        {"heartbeats a second, all", "steady/heartbeatsASecond"},
        {"heartbeat answered, median ms", "steady/heartbeatMedianMs"},
        {"heartbeat answered, 99 in 100, ms", "steady/heartbeatP99Ms"},
        {"400 routes, whole: in force at the last router, ms", "configuration/whole of 400 routes/hollowRouters/lastMs"
        },
        {"400 routes, whole: last real router, ms", "configuration/whole of 400 routes/realRoutersLastMs"},
        {"400 routes, whole: bytes in a router", "configuration/whole of 400 routes/bytesInARouter"},
        {"400 routes, whole: CPU a hollow router, ms", "configuration/whole of 400 routes/cpuMsARouter"},
        {"one route of 400: last router, ms", "configuration/one route of 400/hollowRouters/lastMs"},
        {"one route of 400: CPU a hollow router, ms", "configuration/one route of 400/cpuMsARouter"},
        {"one route of 400: bytes out a router", "configuration/one route of 400/bytesOutARouter"},
        {"1,700 routes, whole: last router, ms", "configuration/whole of 1700 routes/hollowRouters/lastMs"},
        {"1,700 routes, whole: last real router, ms", "configuration/whole of 1700 routes/realRoutersLastMs"},
        {"1,700 routes, whole: bytes in a router", "configuration/whole of 1700 routes/bytesInARouter"},
        {"1,700 routes, whole: CPU a hollow router, ms", "configuration/whole of 1700 routes/cpuMsARouter"},
        {"one route of 1,700: last router, ms", "configuration/one route of 1700/hollowRouters/lastMs"},
        {"one route of 1,700: CPU a hollow router, ms", "configuration/one route of 1700/cpuMsARouter"},
        {"one route of 1,700: last real router, ms", "configuration/one route of 1700/realRoutersLastMs"},
        {"drain: acknowledged, most ms", "drain/one at a time/acknowledgedMostMs"},
        {"drain: known at the last router, ms", "drain/one at a time/lastMs"},
        {"a tenth drain at once: acknowledged, most ms", "drain/a tenth at once/acknowledgedMostMs"},
        {"a tenth drain at once: known at the last router, ms", "drain/a tenth at once/lastMs"},
        {"a tenth drain at once: cores that the hollow routers took", "drain/a tenth at once/hollowCores"},
        {"replicas start: cores that the hollow routers took", "replicasStartHollowCores"},
        {"one drain: CPU a hollow router, ms", "drain/one at a time/cpuMsARouterARecord"},
        {"one drain: messages out a router", "drain/one at a time/messagesOutARouterARecord"},
        {"one drain: bytes out a router", "drain/one at a time/bytesOutARouterARecord"},
        {"one of a tenth: CPU a hollow router, ms", "drain/a tenth at once/cpuMsARouterARecord"},
        {"one of a tenth: bytes out a router", "drain/a tenth at once/bytesOutARouterARecord"},
        {"controller killed: all replicas heard elsewhere, ms", "controllerLost/allReplicasHeardElsewhereMs"},
        {"controller killed: drain acknowledged, most ms", "controllerLost/drainsMeanwhile/acknowledgedMostMs"},
        {"controller killed: drain known at the last router, ms", "controllerLost/drainsMeanwhile/lastMs"},
        {"controller killed: CPU of each left, %", "controllerLost/controllerCpuPercent"},
        {"controller killed: replicas taken for silent", "controllerLost/replicasTakenForSilent"},
        {"controller back and caught up, ms", "controllerLost/backAndCaughtUpMs"},
        {"real router killed: ready again, ms", "routersRestarted/realRouterReadyMs"},
        {"hollow router killed: caught up, most ms", "routersRestarted/hollowRouterCaughtUpMostMs"},
        {"run: seconds", "seconds"},
        {"run: cores on average", "coresOnAverage"},
    };

    private final List<JsonObject> runs;
    private final List<String> faults = new ArrayList<>();

    public ScaleReport(List<JsonObject> runs) {
        this.runs = List.copyOf(runs);
        runs.forEach(this::checkBounds);
        checkGrowth();
    }

    /** A description of each exceeded bound. */
    public List<String> faults() {
        return faults;
    }

    private void checkBounds(JsonObject run) {
        checkAtMost(run, "steady/hollowRouterCpuPercent", ROUTER_CPU_PERCENT);
        checkAtMost(run, "steady/routerBytesOutASecond", ROUTER_BYTES_PER_SECOND);
        checkAtMost(run, "steady/routerBytesInASecond", ROUTER_BYTES_PER_SECOND);
        checkAtMost(run, "memoryAtTheEnd/realRouterPeakMb", ROUTER_MB);
        checkAtMost(run, "steady/heartbeatsFailed", 0);
        checkAtMost(run, "steady/lapses", 0);
        checkAtMost(run, "controllerLost/replicasTakenForSilent", 0);
        checkAtMost(run, "coresOnAverage", CORES);
        for (String change : run.getAsJsonObject("configuration").keySet()) {
            if (run.getAsJsonObject("configuration").get(change).isJsonObject()) {
                checkPropagation(run, "configuration/" + change + "/hollowRouters", APPLY_MS);
                checkReached(run, "configuration/" + change + "/realRoutersLastMs", REAL_APPLY_MS);
            }
        }
        for (String drain : List.of("drain/one at a time", "drain/a tenth at once", "controllerLost/drainsMeanwhile")) {
            checkAtMost(run, drain + "/missing", 0);
            checkAtMost(run, drain + "/unacknowledged", 0);
            checkAtMost(run, drain + "/afterAcknowledgementMostMs", DRAIN_MS);
        }
        if (run.has("endedByItself")) {
            faults.add(name(run) + run.get("endedByItself").getAsString() + " exited unexpectedly");
        }
        for (String path : List.of(
                "allReplicasKnownMs",
                "controllerLost/allReplicasHeardElsewhereMs",
                "controllerLost/backAndCaughtUpMs")) {
            checkReached(run, path, Double.MAX_VALUE);
        }
    }

    private void checkPropagation(JsonObject run, String path, double limitMs) {
        checkAtMost(run, path + "/missing", 0);
        checkReached(run, path + "/lastMs", limitMs);
    }

    private void checkReached(JsonObject run, String path, double limit) {
        if (number(run, path) < 0) {
            faults.add(name(run) + path + " was not reached");
        }
        checkAtMost(run, path, limit);
    }

    private void checkAtMost(JsonObject run, String path, double limit) {
        double value = number(run, path);
        if (!(value <= limit)) {
            faults.add(name(run) + path + " is " + value + ", allowed " + limit);
        }
    }

    private static String name(JsonObject run) {
        return run.get("routers").getAsInt() + " routers: ";
    }

    /** Once the fleet is large enough to fill the membership views, traffic per router must not grow with its size. */
    private void checkGrowth() {
        List<JsonObject> fullViewRuns = runs.stream()
                .filter(run -> run.get("routers").getAsInt() >= 100)
                .toList();
        if (fullViewRuns.size() < 2) {
            return;
        }
        JsonObject last = fullViewRuns.get(fullViewRuns.size() - 1);
        for (String path : List.of("steady/routerBytesOutASecond", "steady/routerBytesInASecond")) {
            double growth = number(last, path) / number(fullViewRuns.get(0), path);
            if (!(growth <= MAX_GROWTH)) {
                faults.add(path + " grows by " + SteadyState.round(growth));
            }
        }
    }

    private static double number(JsonObject run, String path) {
        JsonElement element = run;
        for (String part : path.split("/")) {
            if (element == null || !element.isJsonObject()) {
                return Double.NaN;
            }
            element = element.getAsJsonObject().get(part);
        }
        return element == null ? Double.NaN : element.getAsDouble();
    }

    /** A Markdown table with one column per run. */
    public String table() {
        StringBuilder table =
                new StringBuilder("Hollow routers and replicas beside 3 real controllers (processes on loopback; "
                        + "configurations committed by " + committedBy() + ")\n\n| routers, replicas |");
        runs.forEach(run -> table.append(' ')
                .append(run.get("routers").getAsInt())
                .append(", ")
                .append(run.get("replicas").getAsInt())
                .append(" |"));
        table.append("\n| --- |").append(" ---: |".repeat(runs.size())).append('\n');
        for (String[] row : ROWS) {
            table.append("| ").append(row[0]).append(" |");
            runs.forEach(
                    run -> table.append(' ').append(text(number(run, row[1]))).append(" |"));
            table.append('\n');
        }
        return table.toString();
    }

    private String committedBy() {
        return runs.get(0).getAsJsonObject("configuration").get("committedBy").getAsString();
    }

    private static String text(double value) {
        if (Double.isNaN(value)) {
            return "-";
        }
        return value == Math.rint(value) ? Long.toString((long) value) : String.format("%.2f", value);
    }
}
