package pinewick.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import pinewick.dissemination.FleetMessages;
import pinewick.membership.NodeRole;
import pinewick.transport.MessageCodec;
import pinewick.transport.TransportException;

/** All parts of one fleet: real controllers and routers, hollow routers, hollow replicas, and the operator. */
final class FleetUnderTest implements AutoCloseable {
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_MS = 20;
    private static final int OK = 200;
    private static final double REPLICA_STARTS_PER_SECOND = 120;
    private static final double MS_PER_SECOND = 1_000;

    private final ScalePlan plan;
    private final Path folder;
    private final FleetAddresses addresses;
    private final HttpPeer http = new HttpPeer();
    private final List<SystemProcess> controllers = new ArrayList<>();
    private final List<SystemProcess> realRouters = new ArrayList<>();
    private final HollowNode observer;
    private final Operator operator;
    private HollowFleet hollow;
    private ReplicaSwarm swarm;

    FleetUnderTest(ScalePlan plan, long seed, Path folder) throws IOException, TransportException {
        this.plan = plan;
        this.folder = folder;
        addresses = FleetAddresses.free(ScalePlan.CONTROLLERS);
        observer = new HollowNode(
                addresses.observer(),
                NodeRole.CONTROLLER,
                "zone-a2",
                addresses.seeds(),
                addresses.firstPort() + 1,
                new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes()),
                new SplittableRandom(seed));
        operator = new Operator(http, addresses.controlPlanes(), observer);
    }

    /** Starts all processes and waits until all routers are synchronised and ready. */
    void start(long seed) throws IOException, InterruptedException {
        startControllers();
        observer.start();
        operator.replace(2);
        hollow = new HollowFleet(plan, addresses, seed, folder);
        for (int number = 0; number < plan.realRouters(); number++) {
            Path settings = folder.resolve("router-" + number + ".toml");
            Files.writeString(settings, SettingsText.router(addresses, number));
            realRouters.add(process("router", settings, folder.resolve("router-" + number + ".log")));
            realRouters.get(number).start();
        }
        hollow.awaitStart();
        require(
                hollow.awaitFigures(
                        responses -> HollowFleet.sum(responses, "synchronised") == plan.routers(), START_TIMEOUT_MS),
                "routers to catch up");
        for (int number = 0; number < plan.realRouters(); number++) {
            awaitReady(number);
        }
    }

    private void startControllers() throws IOException, InterruptedException {
        for (int number = 0; number < ScalePlan.CONTROLLERS; number++) {
            Path settings = folder.resolve("controller-" + number + ".toml");
            Path data = Files.createDirectories(folder.resolve("data-" + number));
            Files.writeString(settings, SettingsText.controller(addresses, number, data));
            controllers.add(process("controller", settings, folder.resolve("controller-" + number + ".log")));
            controllers.get(number).start();
        }
        for (int number = 0; number < ScalePlan.CONTROLLERS; number++) {
            int controller = number;
            require(
                    awaitCondition(() -> isResponding(controller), START_TIMEOUT_MS),
                    "controller " + number + " to respond");
        }
    }

    private SystemProcess process(String role, Path settings, Path log) {
        return new SystemProcess(role, settings, log, plan.maxLifetimeSeconds());
    }

    private boolean isResponding(int controller) {
        try {
            return http.report(addresses.controlPlane(controller)).isPresent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits until a real router reports that it is ready. */
    void awaitReady(int router) throws InterruptedException {
        require(awaitCondition(() -> isReady(router), START_TIMEOUT_MS), "router " + router + " to be ready");
    }

    private boolean isReady(int router) {
        try {
            return http.status(addresses.readiness(router), "/ready") == OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Starts the replicas' heartbeats at a limited rate. Each router here has only a hundredth of the processors of a
     * dedicated machine, and without the limit all routers would have to process every record at once.
     */
    ReplicaSwarm startReplicas() throws IOException {
        double startPeriodMs =
                Math.max(HollowReplica.HEARTBEAT_MS, plan.replicas() * MS_PER_SECOND / REPLICA_STARTS_PER_SECOND);
        swarm = new ReplicaSwarm(plan.replicas(), addresses.controlPlanes(), startPeriodMs);
        return swarm;
    }

    /** Waits for a condition; returns whether it was satisfied in time. */
    static boolean awaitCondition(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs || Thread.currentThread().isInterrupted()) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    private static void require(boolean satisfied, String description) {
        if (!satisfied) {
            throw new IllegalStateException("timed out waiting for " + description);
        }
    }

    ScalePlan plan() {
        return plan;
    }

    FleetAddresses addresses() {
        return addresses;
    }

    HttpPeer http() {
        return http;
    }

    List<SystemProcess> controllers() {
        return controllers;
    }

    List<SystemProcess> realRouters() {
        return realRouters;
    }

    HollowNode observer() {
        return observer;
    }

    Operator operator() {
        return operator;
    }

    HollowFleet hollow() {
        return hollow;
    }

    ReplicaSwarm swarm() {
        return swarm;
    }

    /** CPU time used so far by all processes except this one, milliseconds. */
    double cpuMs() {
        double real = Stream.concat(controllers.stream(), realRouters.stream())
                .mapToDouble(process -> process.usage().cpuMs())
                .sum();
        return real + (hollow == null ? 0 : hollow.cpuMs());
    }

    @Override
    public void close() throws IOException {
        if (swarm != null) {
            swarm.close();
        }
        if (hollow != null) {
            hollow.close();
        }
        realRouters.forEach(SystemProcess::close);
        controllers.forEach(SystemProcess::close);
        observer.close();
    }
}
