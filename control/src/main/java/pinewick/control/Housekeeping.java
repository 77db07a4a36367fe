package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** What a controller looks after by itself, a few times a second. Owned by the control loop. */
final class Housekeeping {
    /** How often {@link #run} is to be called, milliseconds. */
    static final int PERIOD_MS = 500;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final FleetAccess fleet;
    private final ReplicaRegistry registry;
    private final LivenessJudge judge;
    private final RegistryCounters counters;
    private final Consumer<Set<SocketAddress>> controllerListener;
    private final TaskLoop loop;

    /**
     * @param controllerListener told which other controllers are believed to be running
     */
    Housekeeping(
            FleetAccess fleet,
            ReplicaRegistry registry,
            LivenessJudge judge,
            RegistryCounters counters,
            Consumer<Set<SocketAddress>> controllerListener,
            TaskLoop loop) {
        this.fleet = fleet;
        this.registry = registry;
        this.judge = judge;
        this.counters = counters;
        this.controllerListener = controllerListener;
        this.loop = loop;
    }

    /** Looks at the other controllers and at every replica. */
    void run() {
        Set<SocketAddress> controllers = fleet.otherControllers();
        controllerListener.accept(controllers);
        registry.onTick();
        fleet.prune();
        List<ReplicaRecord> lapsed = judge.judge(fleet.replicas(), fleet, controllers, loop.nowMs());
        lapsed.forEach(this::publishLapsed);
    }

    private void publishLapsed(ReplicaRecord record) {
        counters.countLapsed();
        logger.atInfo().log(
                "replica %s of %s at %s is silent", record.instanceId(), record.service(), record.address());
        fleet.publish(record);
    }
}
