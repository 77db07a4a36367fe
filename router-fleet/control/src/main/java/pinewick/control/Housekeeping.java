package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/**
 * The periodic tasks of a controller: marks lapsed replicas, removes the state of replicas without a record, and
 * passes the known controllers to replication. Control loop only.
 */
final class Housekeeping {
    /** Interval at which {@link #run} has to be called, milliseconds. */
    static final int PERIOD_MS = 500;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetAccess fleet;
    private final ReplicaRegistry registry;
    private final ReplicaFailureDetector failureDetector;
    private final RegistryCounters counters;
    private final Consumer<Set<SocketAddress>> controllerListener;
    private final TaskLoop loop;

    /** @param controllerListener called in each run with the other controllers believed to be running */
    Housekeeping(
            FleetAccess fleet,
            ReplicaRegistry registry,
            ReplicaFailureDetector failureDetector,
            RegistryCounters counters,
            Consumer<Set<SocketAddress>> controllerListener,
            TaskLoop loop) {
        this.fleet = fleet;
        this.registry = registry;
        this.failureDetector = failureDetector;
        this.counters = counters;
        this.controllerListener = controllerListener;
        this.loop = loop;
    }

    /** Runs all tasks once. */
    void run() {
        Set<SocketAddress> controllers = fleet.otherControllers();
        controllerListener.accept(controllers);
        registry.onTick();
        fleet.prune();
        List<ReplicaRecord> lapsed = failureDetector.detectLapsed(fleet.replicas(), fleet, controllers, loop.nowMs());
        lapsed.forEach(this::publishLapsed);
    }

    private void publishLapsed(ReplicaRecord record) {
        counters.countLapsed();
        LOGGER.atInfo().log(
                "replica lapsed: %s of service %s at %s: no heartbeat",
                record.instanceId(), record.service(), record.address());
        fleet.publish(record);
    }
}
