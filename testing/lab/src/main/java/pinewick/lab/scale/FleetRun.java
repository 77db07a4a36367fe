package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The complete measurement of a fleet of one size. */
public final class FleetRun {
    private static final long TIMEOUT_MS = 30_000;
    private static final double MS_PER_SECOND = 1_000;

    private final ScalePlan plan;
    private final long seed;

    public FleetRun(ScalePlan plan, long seed) {
        this.plan = plan;
        this.seed = seed;
    }

    /** Starts the fleet, measures it, and stops every process. */
    public JsonObject run() throws Exception {
        Path folder = Files.createTempDirectory("pinewick-scale");
        JsonObject json = new JsonObject();
        json.addProperty("routers", plan.routers());
        json.addProperty("realRouters", plan.realRouters());
        json.addProperty("replicas", plan.replicas());
        json.addProperty("controllers", ScalePlan.CONTROLLERS);
        json.addProperty("processes", plan.workers() + plan.realRouters() + ScalePlan.CONTROLLERS + 1);
        long fromNs = System.nanoTime();
        double ownCpuMs = ownCpuMs();
        boolean succeeded = false;
        try (FleetUnderTest fleet = new FleetUnderTest(plan, seed, folder)) {
            measure(fleet, json);
            double seconds = (System.nanoTime() - fromNs) / 1e9;
            double cpuSeconds = (fleet.cpuMs() + ownCpuMs() - ownCpuMs) / MS_PER_SECOND;
            json.addProperty("seconds", SteadyState.round(seconds));
            json.addProperty("coresOnAverage", SteadyState.round(cpuSeconds / seconds));
            succeeded = true;
        } finally {
            if (succeeded) {
                FolderTree.delete(folder);
            } else {
                System.err.println("pinewick-lab: process logs kept in " + folder);
            }
        }
        return json;
    }

    private static double ownCpuMs() {
        return ProcessUsage.of(ProcessHandle.current().pid()).cpuMs();
    }

    private void measure(FleetUnderTest fleet, JsonObject json) throws Exception {
        fleet.start(seed);
        log("all routers are synchronised");
        measureReplicaStart(fleet, json);
        checkControllers(fleet, json, "start of the replicas");
        Thread.sleep((long) (plan.settleSeconds() * MS_PER_SECOND));
        JsonObject steady = new SteadyState(fleet).measure();
        json.add("steady", steady);
        log("steady state measured");
        double steadyCpuPercent = steady.get("hollowRouterCpuPercent").getAsDouble();
        json.add("configuration", new ConfigurationTrial(fleet, steadyCpuPercent).measure());
        log("configurations measured");
        checkControllers(fleet, json, "configurations");
        DrainTrial drains = new DrainTrial(fleet, steadyCpuPercent);
        json.add("drain", drains.measure());
        log("drains measured");
        checkControllers(fleet, json, "drains");
        LossTrial loss = new LossTrial(fleet, drains);
        json.add("controllerLost", loss.killController());
        json.add("routersRestarted", loss.restartRouters());
        log("losses measured");
        checkControllers(fleet, json, "losses");
        measureMemory(fleet, json);
    }

    /** Records and logs controllers that exited unexpectedly, with the last line of their log. */
    private void checkControllers(FleetUnderTest fleet, JsonObject json, String phase) throws Exception {
        for (int number = 0; number < fleet.controllers().size(); number++) {
            SystemProcess controller = fleet.controllers().get(number);
            if (!controller.running() && !controller.killed()) {
                String name = "controller " + number;
                json.addProperty("endedByItself", name + ", noticed after: " + phase);
                log(name + " exited unexpectedly: " + controller.lastLogLine());
            }
        }
    }

    private void log(String message) {
        System.err.println(
                "pinewick-lab: " + plan.routers() + " routers, " + plan.replicas() + " replicas: " + message);
    }

    private void measureReplicaStart(FleetUnderTest fleet, JsonObject json) throws Exception {
        long fromNs = System.nanoTime();
        double cpuMs = fleet.hollow().cpuMs();
        fleet.startReplicas();
        boolean known = fleet.hollow()
                .awaitFigures(responses -> HollowFleet.min(responses, "records") >= plan.replicas(), TIMEOUT_MS);
        json.addProperty("allReplicasKnownMs", known ? Math.round((System.nanoTime() - fromNs) / 1e6) : -1);
        json.addProperty(
                "replicasStartHollowCores",
                SteadyState.round((fleet.hollow().cpuMs() - cpuMs) * 1e6 / (System.nanoTime() - fromNs)));
        json.addProperty(
                "replicasStartHeartbeatsFailed", fleet.swarm().takeHeartbeats().failed());
        log(known ? "all routers know all replicas" : "not all routers learned of all replicas");
    }

    private void measureMemory(FleetUnderTest fleet, JsonObject json) throws Exception {
        JsonObject memory = new JsonObject();
        memory.addProperty("controllerPeakMb", peakMb(fleet.controllers()));
        memory.addProperty("realRouterPeakMb", peakMb(fleet.realRouters()));
        List<JsonObject> figures = fleet.hollow().send("collect");
        memory.addProperty(
                "hollowRouterHeapKb", Math.round(HollowFleet.sum(figures, "heapBytes") / 1_024 / plan.routers()));
        json.add("memoryAtTheEnd", memory);
    }

    private static long peakMb(List<SystemProcess> processes) {
        return processes.stream()
                        .mapToLong(process -> process.usage().peakKb())
                        .max()
                        .orElse(0)
                / 1_024;
    }
}
