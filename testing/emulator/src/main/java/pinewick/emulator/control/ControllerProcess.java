package pinewick.emulator.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.control.ApiRequest;
import pinewick.control.ApiResponse;
import pinewick.control.Controller;
import pinewick.control.ControllerCore;
import pinewick.control.TaskLoop;
import pinewick.dissemination.FleetState;
import pinewick.dissemination.FleetStateListener;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaPolicy;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationSettings;

/** One incarnation of a controller's process: the real {@link ControllerCore} on a task loop in virtual time. */
final class ControllerProcess implements TaskLoop {
    /** Time between SIGTERM and SIGKILL, as in the deployments. */
    private static final double GRACE_PERIOD_SECONDS = 8;

    private static final int MAX_BACKLOG = 5_000;
    private static final double LOOP_DELAY_MS = 0.02;
    private static final double LEASE_USE_INTERVAL_MS = 370;

    private final SimulatedSystem system;
    private final ControllerMachine machine;
    private final SplittableRandom random;
    private final double clockOffsetMs;
    private final SimulatedStore store;
    private final ControllerCore core;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private String lastEvent = "";
    private boolean running = true;
    private boolean frozen;
    private boolean shuttingDown;

    ControllerProcess(SimulatedSystem system, ControllerMachine machine, SplittableRandom random, boolean firstStart) {
        this.system = system;
        this.machine = machine;
        this.random = random;
        this.clockOffsetMs = random.nextDouble(1_000_000);
        this.store = new SimulatedStore(system.time(), machine.disk(), this, random.split(), system.mutation());
        ReplicationSettings replication = system.mutation()
                .settings(new ReplicationSettings(
                        machine.internal(),
                        machine.api(),
                        machine.seeds(),
                        firstStart,
                        system.toleratedMachines(),
                        SimulatedSystem.ACK_MS,
                        SimulatedSystem.LEASE_MS));
        NodeDescriptor self = new NodeDescriptor(
                machine.internal(), (long) machine.wallClockMs(), NodeRole.CONTROLLER, machine.zone());
        this.core = new ControllerCore(
                new ControllerCore.Settings(
                        self,
                        replication,
                        SimulatedSystem.CONTACT_MS,
                        SimulatedSystem.HEARTBEAT_MS,
                        new QuotaPolicy(8_000, 0.1, 0)),
                this,
                store,
                store,
                (peer, message) -> system.network().send(machine.internal(), peer, message),
                random.split(),
                random.split());
        core.state().addListener(new StateObserver());
    }

    /** Checks the fleet state of this process against the invariants. */
    private final class StateObserver implements FleetStateListener {
        @Override
        public void onConfigurationChanged(ConfigurationDocument document) {
            system.guard(() -> system.history().onInForce(machine.host(), document));
        }

        @Override
        public void onReplicaChanged(ReplicaRecord record) {
            system.guard(() -> system.fleetChecker().onReplicaKnown(ControllerProcess.this, machine.host(), record));
        }
    }

    void start() {
        execute(core::start);
        system.after(random.nextDouble(50), this::tick);
        system.after(random.nextDouble(500), this::housekeeping);
        system.after(random.nextDouble(LEASE_USE_INTERVAL_MS), this::useLease);
    }

    private void tick() {
        if (running) {
            run(core::onTick);
            traceEvent();
            system.after(frozen ? 50 : random.nextDouble(49, 53), this::tick);
        }
    }

    private void traceEvent() {
        if (system.isTraced() && !lastEvent.equals(core.lastEvent())) {
            lastEvent = core.lastEvent();
            system.trace(machine.host() + " " + lastEvent);
        }
    }

    private void housekeeping() {
        if (running) {
            run(core::onHousekeeping);
            system.after(ControllerCore.HOUSEKEEPING_MS, this::housekeeping);
        }
    }

    /** Uses the lease at intervals while the process has it, as it would to control replicas. */
    private void useLease() {
        if (running) {
            run(() -> system.mutation().leadingEpoch(this, core.leadingEpoch()).ifPresent(epoch -> system.lease()
                    .onLeaseUsed(machine.host(), epoch, system.nowMs())));
            system.after(LEASE_USE_INTERVAL_MS, this::useLease);
        }
    }

    boolean isRunning() {
        return running;
    }

    boolean isFrozen() {
        return frozen;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    ControllerMachine machine() {
        return machine;
    }

    FleetState state() {
        return core.state();
    }

    Optional<SocketAddress> primary() {
        return core.primary();
    }

    /** The report about its replicated configuration. */
    ReplicationReport report() {
        return core.replicationReport();
    }

    /** Whether this process considers itself primary. */
    boolean isPrimary() {
        return running && core.primary().filter(machine.api()::equals).isPresent();
    }

    @Override
    public double nowMs() {
        return system.nowMs() + clockOffsetMs;
    }

    @Override
    public void execute(Runnable task) {
        system.after(LOOP_DELAY_MS, () -> run(task));
    }

    @Override
    public void schedule(Runnable task, long delayMs) {
        system.after(delayMs, () -> run(task));
    }

    /** Runs a task in the process; if it is frozen, after it resumes. */
    void run(Runnable task) {
        if (!running) {
            return;
        }
        if (!frozen) {
            task.run();
        } else if (backlog.size() < MAX_BACKLOG) {
            backlog.add(task);
        }
    }

    void onMessage(SocketAddress sender, Message message) {
        Message delivered = system.mutation().onReceived(sender, machine.internal(), message);
        if (delivered != null) {
            run(() -> core.onMessage(sender, delivered));
            traceEvent();
        }
    }

    /** A request of an operator has arrived. */
    void onOperatorCall(OperatorCall call, Consumer<ApiResponse> onResponse) {
        if (shuttingDown) {
            onResponse.accept(new ApiResponse(503, Optional.empty(), new byte[0]));
            return;
        }
        CallHistory.Call record = system.history().calls().onReceived(call.change());
        Consumer<ApiResponse> responder = response -> {
            ApiResponse mutated = system.mutation().onResponse(this, call, response);
            system.guard(() -> check(record, call, mutated));
            onResponse.accept(mutated);
        };
        run(() -> system.mutation()
                .overrideResponse(this, call)
                .ifPresentOrElse(responder, () -> dispatch(system.mutation().onCall(this, call), responder)));
    }

    private void dispatch(OperatorCall call, Consumer<ApiResponse> responder) {
        ApiRequest api = call.api();
        switch (call.operation()) {
            case REPLACE -> core.replaceConfiguration(api, responder);
            case UPDATE -> core.updateConfiguration(api, responder);
            case READ -> core.readConfiguration(api, responder);
        }
    }

    /** A response counts from when it is sent: no later event may contradict it. */
    private void check(CallHistory.Call record, OperatorCall call, ApiResponse response) {
        if (response.status() == 200 && call.change() == null) {
            ConfigurationDocument document = parse(response.body());
            system.history().onRead(machine.host(), document);
            system.history().calls().onAnswered(record, CallHistory.Outcome.READ, document.version());
        } else if (response.status() == 200) {
            system.history().onAcknowledged(machine.host(), call.change());
            system.history().calls().onAcknowledged(call.change());
            system.freshness().onAcknowledged(call.change().version(), system.nowMs());
            system.fleetChecker()
                    .onConfigurationAcknowledged(machine, call.change().version());
        } else if (response.status() == 412 || response.status() == 400) {
            system.history().onRejected(machine.host(), call.change(), response.status());
            CallHistory.Outcome outcome =
                    response.status() == 412 ? CallHistory.Outcome.CONFLICT : CallHistory.Outcome.INVALID;
            system.history().calls().onAnswered(record, outcome, 0);
        } else if (response.status() == 307) {
            URI location = URI.create(response.location().orElseThrow());
            system.onRedirect(machine, new SocketAddress(location.getHost(), location.getPort()));
        } else if (response.status() == 500) {
            throw new InvariantViolation(Invariant.NO_FAILURE, machine.host() + " responded with 500");
        }
    }

    private static ConfigurationDocument parse(byte[] json) {
        try {
            JsonObject parsed = JsonParser.parseString(new String(json, StandardCharsets.UTF_8))
                    .getAsJsonObject();
            return parsed.get("version").getAsLong() == 0
                    ? ConfigurationDocument.EMPTY
                    : ConfigurationChecks.parseReplacement(json);
        } catch (InvalidConfigurationException e) {
            throw new InvariantViolation(
                    Invariant.AS_SENT, "a read returned a configuration that cannot be parsed: " + e);
        }
    }

    /** A request of a replica has arrived. */
    void onReplicaCall(ReplicaActor.Call call, Consumer<ApiResponse> onResponse) {
        if (shuttingDown) {
            onResponse.accept(new ApiResponse(503, Optional.empty(), new byte[0]));
            return;
        }
        ApiRequest api = new ApiRequest(call.path(), call.instanceId(), Optional.empty(), call.body());
        Consumer<ApiResponse> responder = response -> {
            if (response.status() == 200) {
                system.guard(
                        () -> system.fleetChecker().onRemovalAcknowledged(machine, call.instanceId(), call.state()));
            }
            onResponse.accept(response);
        };
        run(() -> {
            core.state().findReplica(call.instanceId()).ifPresent(replica -> system.mutation()
                    .onHeartbeat(this, replica));
            if (call.isDeregistration()) {
                core.deregister(api, responder);
            } else {
                core.heartbeat(api, responder);
            }
        });
    }

    /** SIGTERM: hands over, then exits. {@code onExited} receives whether the process was detached by then. */
    void terminate(Consumer<Boolean> onExited) {
        shuttingDown = true;
        double untilMs = system.nowMs() + Controller.handoverTimeoutMs(GRACE_PERIOD_SECONDS);
        run(core::beginReplicationShutdown);
        awaitDetachment(untilMs, onExited);
    }

    private void awaitDetachment(double untilMs, Consumer<Boolean> onExited) {
        system.after(
                ControllerCore.TICK_MS,
                () -> run(() -> {
                    boolean detached = system.mutation().isDetached(core.isDetached());
                    if (detached || system.nowMs() >= untilMs) {
                        core.leaveFleet();
                        onExited.accept(detached);
                    } else {
                        awaitDetachment(untilMs, onExited);
                    }
                }));
    }

    void stop() {
        running = false;
        backlog.clear();
        store.crash();
    }

    void freeze() {
        frozen = true;
    }

    void resume() {
        frozen = false;
        List<Runnable> tasks = new ArrayList<>(backlog);
        backlog.clear();
        tasks.forEach(this::run);
    }
}
