package pinewick.lab.scale;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import pinewick.model.SocketAddress;

/** Kills and restarts a controller, then routers. */
final class LossTrial {
    private static final long TIMEOUT_MS = 20_000;
    private static final int RESTARTED_ROUTERS = 5;
    private static final double MS_PER_SECOND = 1_000;

    private final FleetUnderTest fleet;
    private final DrainTrial drains;
    private int killedController;

    LossTrial(FleetUnderTest fleet, DrainTrial drains) {
        this.fleet = fleet;
        this.drains = drains;
    }

    /** Kills the controller with the most replicas and restarts it later. */
    JsonObject killController() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        int[] replicas = fleet.swarm().replicasByController(ScalePlan.CONTROLLERS);
        for (int number = 0; number < replicas.length; number++) {
            killedController = replicas[number] > replicas[killedController] ? number : killedController;
        }
        json.addProperty("replicasByControllerBefore", Arrays.toString(replicas));
        long lapsesBefore = HollowFleet.max(fleet.hollow().send("figures"), "lapses");
        fleet.swarm().takeHeartbeats();
        double killedAtMs = HollowReplica.nowMs();
        fleet.controllers().get(killedController).kill();
        boolean allReconnected = FleetUnderTest.awaitCondition(() -> allAcknowledgedSince(killedAtMs), TIMEOUT_MS);
        json.addProperty(
                "allReplicasHeardElsewhereMs", allReconnected ? Math.round(HollowReplica.nowMs() - killedAtMs) : -1);
        json.add("drainsMeanwhile", DrainTrial.toJson(drains.drainReplicas(2, 1)));
        measureSurvivors(json);
        json.addProperty("heartbeatsFailed", fleet.swarm().takeHeartbeats().failed());
        restartController(json);
        json.addProperty(
                "replicasByControllerAfter",
                Arrays.toString(fleet.swarm().replicasByController(ScalePlan.CONTROLLERS)));
        json.addProperty(
                "replicasTakenForSilent", HollowFleet.max(fleet.hollow().send("figures"), "lapses") - lapsesBefore);
        return json;
    }

    private boolean allAcknowledgedSince(double ms) {
        return HollowReplica.nowMs() - fleet.swarm().maxSilenceMs() > ms;
    }

    private void measureSurvivors(JsonObject json) throws InterruptedException {
        List<SystemProcess> survivors =
                fleet.controllers().stream().filter(SystemProcess::running).toList();
        double cpuMsBefore = survivors.stream()
                .mapToDouble(process -> process.usage().cpuMs())
                .sum();
        long fromNs = System.nanoTime();
        Thread.sleep((long) (fleet.plan().lossSeconds() * MS_PER_SECOND));
        double spentMs = survivors.stream()
                        .mapToDouble(process -> process.usage().cpuMs())
                        .sum()
                - cpuMsBefore;
        double ms = (System.nanoTime() - fromNs) / 1e6;
        json.addProperty("controllersLeft", survivors.size());
        json.addProperty("controllerCpuPercent", SteadyState.round(100 * spentMs / ms / survivors.size()));
    }

    private void restartController(JsonObject json) throws IOException, InterruptedException {
        SystemProcess controller = fleet.controllers().get(killedController);
        controller.start();
        SocketAddress address = fleet.addresses().controlPlane(killedController);
        boolean recovered = FleetUnderTest.awaitCondition(() -> hasCaughtUp(address), TIMEOUT_MS);
        json.addProperty(
                "backAndCaughtUpMs", recovered ? Math.round((System.nanoTime() - controller.startedAtNs()) / 1e6) : -1);
    }

    private boolean hasCaughtUp(SocketAddress controlPlane) {
        try {
            return fleet.http()
                    .report(controlPlane)
                    .map(report ->
                            report.getAsJsonObject("fleet").get("synchronised").getAsBoolean()
                                    && report.getAsJsonObject("configuration")
                                                    .get("version")
                                                    .getAsLong()
                                            >= fleet.operator().version()
                                    && readyReplicas(report) >= fleet.swarm().size() / 2)
                    .orElse(false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static int readyReplicas(JsonObject report) {
        return report.getAsJsonObject("replicas").entrySet().stream()
                .mapToInt(service ->
                        service.getValue().getAsJsonObject().get("ready").getAsInt())
                .sum();
    }

    /** Kills and restarts a real router and some hollow ones. */
    JsonObject restartRouters() throws IOException, InterruptedException {
        JsonObject json = new JsonObject();
        SystemProcess router = fleet.realRouters().get(0);
        router.kill();
        router.start();
        fleet.awaitReady(0);
        json.addProperty("realRouterReadyMs", Math.round((System.nanoTime() - router.startedAtNs()) / 1e6));
        HollowRoutersProcess worker = fleet.hollow().workers().get(0);
        double maxMs = 0;
        for (int number = 0; number < Math.min(RESTARTED_ROUTERS, worker.routers()); number++) {
            worker.send("rejoin " + number);
            maxMs = Math.max(maxMs, joiningMs(worker, number));
        }
        json.addProperty("hollowRouterCaughtUpMostMs", Math.round(maxMs));
        return json;
    }

    private static double joiningMs(HollowRoutersProcess worker, int number) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (true) {
            JsonObject joining = worker.send("joining " + number);
            if (joining.get("done").getAsBoolean() || System.nanoTime() > deadlineNs) {
                return joining.get("ms").getAsDouble();
            }
            Thread.sleep(20);
        }
    }
}
