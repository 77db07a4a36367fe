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
import pinewick.control.ApiResponse;
import pinewick.control.ApiRequest;
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
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationSettings;

/** One life of a controller's process: the project's own controller, on a loop in virtual time. */
final class ControllerLife implements TaskLoop {
    /** Time between the order to stop and the kill, as both deployments have it. */
    private static final double GRACE_PERIOD_SECONDS = 8;

    private static final int MOST_HELD = 5_000;
    private static final double LOOP_DELAY_MS = 0.02;
    private static final double LEASE_USE_MS = 370;

    private final ControlWorld world;
    private final ControllerMachine machine;
    private final SplittableRandom random;
    private final double clockOffsetMs;
    private final SimulatedStore store;
    private final ControllerCore core;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private String lastEvent = "";
    private boolean alive = true;
    private boolean frozen;
    private boolean leaving;

    ControllerLife(ControlWorld world, ControllerMachine machine, SplittableRandom random, boolean firstStart) {
        this.world = world;
        this.machine = machine;
        this.random = random;
        this.clockOffsetMs = random.nextDouble(1_000_000);
        this.store = new SimulatedStore(world.time(), machine.disk(), this, random.split(), world.sabotage());
        ReplicationSettings replication = world.sabotage()
                .settings(new ReplicationSettings(
                        machine.internal(),
                        machine.api(),
                        machine.seeds(),
                        firstStart,
                        world.toleratedMachines(),
                        ControlWorld.ACK_MS,
                        ControlWorld.LEASE_MS));
        NodeDescriptor self = new NodeDescriptor(
                machine.internal(), (long) machine.wallClockMs(), NodeRole.CONTROLLER, machine.zone());
        this.core = new ControllerCore(
                new ControllerCore.Settings(self, replication, ControlWorld.CONTACT_MS, ControlWorld.HEARTBEAT_MS),
                this,
                store,
                (peer, message) -> world.network().send(machine.internal(), peer, message),
                random.split(),
                random.split());
        core.state().addListener(new Watch());
    }

    /** Holds what this process takes for true against what must hold. */
    private final class Watch implements FleetStateListener {
        @Override
        public void onConfigurationChanged(ConfigurationDocument document) {
            world.guard(() -> world.history().inForceAt(machine.host(), document));
        }

        @Override
        public void onReplicaChanged(ReplicaRecord record) {
            world.guard(() -> world.fleetChecker().knows(ControllerLife.this, machine.host(), record));
        }
    }

    void start() {
        execute(core::start);
        world.after(random.nextDouble(50), this::tick);
        world.after(random.nextDouble(500), this::housekeeping);
        world.after(random.nextDouble(LEASE_USE_MS), this::useLease);
    }

    private void tick() {
        if (alive) {
            run(core::onTick);
            noteEvent();
            world.after(frozen ? 50 : random.nextDouble(49, 53), this::tick);
        }
    }

    private void noteEvent() {
        if (world.traced() && !lastEvent.equals(core.lastEvent())) {
            lastEvent = core.lastEvent();
            world.note(machine.host() + " " + lastEvent);
        }
    }

    private void housekeeping() {
        if (alive) {
            run(core::onHousekeeping);
            world.after(ControllerCore.HOUSEKEEPING_MS, this::housekeeping);
        }
    }

    /** Now and then the process would give orders to replicas, if it held the lease. */
    private void useLease() {
        if (alive) {
            run(() -> world.sabotage().leadingEpoch(this, core.leadingEpoch()).ifPresent(epoch -> world.lease()
                    .holds(machine.host(), epoch, world.nowMs())));
            world.after(LEASE_USE_MS, this::useLease);
        }
    }

    boolean alive() {
        return alive;
    }

    boolean frozen() {
        return frozen;
    }

    boolean leaving() {
        return leaving;
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

    /** What its replicated configuration says of itself. */
    ReplicationReport report() {
        return core.replicationReport();
    }

    /** Whether this process takes itself for the primary. */
    boolean leads() {
        return alive && core.primary().filter(machine.api()::equals).isPresent();
    }

    @Override
    public double nowMs() {
        return world.nowMs() + clockOffsetMs;
    }

    @Override
    public void execute(Runnable task) {
        world.after(LOOP_DELAY_MS, () -> run(task));
    }

    @Override
    public void schedule(Runnable task, long delayMs) {
        world.after(delayMs, () -> run(task));
    }

    /** Runs something in the process; later, if it is frozen. */
    void run(Runnable task) {
        if (!alive) {
            return;
        }
        if (!frozen) {
            task.run();
        } else if (held.size() < MOST_HELD) {
            held.add(task);
        }
    }

    void onMessage(SocketAddress sender, Message message) {
        Message taken = world.sabotage().received(sender, machine.internal(), message);
        if (taken != null) {
            run(() -> core.onMessage(sender, taken));
            noteEvent();
        }
    }

    /** A call of an operator has come in. */
    void operatorCalls(OperatorCall sent, Consumer<ApiResponse> onAnswer) {
        if (leaving) {
            onAnswer.accept(new ApiResponse(503, Optional.empty(), new byte[0]));
            return;
        }
        CallHistory.Call record = world.history().calls().cameIn(sent.change());
        Consumer<ApiResponse> answer = given -> {
            ApiResponse altered = world.sabotage().answered(this, sent, given);
            world.guard(() -> check(record, sent, altered));
            onAnswer.accept(altered);
        };
        run(() -> world.sabotage()
                .answerInstead(this, sent)
                .ifPresentOrElse(answer, () -> dispatch(world.sabotage().called(this, sent), answer)));
    }

    private void dispatch(OperatorCall call, Consumer<ApiResponse> answer) {
        ApiRequest api = call.api();
        switch (call.operation()) {
            case REPLACE -> core.replaceConfiguration(api, answer);
            case UPDATE -> core.updateConfiguration(api, answer);
            case READ -> core.readConfiguration(api, answer);
        }
    }

    /** The answer counts as given when it leaves: nothing that follows may contradict it. */
    private void check(CallHistory.Call record, OperatorCall call, ApiResponse answer) {
        if (answer.status() == 200 && call.change() == null) {
            ConfigurationDocument document = parse(answer.body());
            world.history().reads(machine.host(), document);
            world.history().calls().answered(record, CallHistory.Finding.READ, document.version());
        } else if (answer.status() == 200) {
            world.history().acknowledges(machine.host(), call.change());
            world.history().calls().acknowledged(call.change());
            world.fleetChecker()
                    .configurationAcknowledged(machine, call.change().version());
        } else if (answer.status() == 412 || answer.status() == 400) {
            world.history().refuses(machine.host(), call.change(), answer.status());
            CallHistory.Finding finding =
                    answer.status() == 412 ? CallHistory.Finding.CONFLICT : CallHistory.Finding.INVALID;
            world.history().calls().answered(record, finding, 0);
        } else if (answer.status() == 307) {
            URI location = URI.create(answer.location().orElseThrow());
            world.redirects(machine, new SocketAddress(location.getHost(), location.getPort()));
        } else if (answer.status() == 500) {
            throw new InvariantViolation(Invariant.NO_FAILURE, machine.host() + " answers 500");
        }
    }

    private static ConfigurationDocument parse(byte[] json) {
        try {
            JsonObject whole = JsonParser.parseString(new String(json, StandardCharsets.UTF_8))
                    .getAsJsonObject();
            return whole.get("version").getAsLong() == 0
                    ? ConfigurationDocument.EMPTY
                    : ConfigurationChecks.parseReplacement(json);
        } catch (InvalidConfigurationException e) {
            throw new InvariantViolation(Invariant.AS_SENT, "a configuration that was read cannot be parsed: " + e);
        }
    }

    /** A replica's call has come in. */
    void replicaCalls(ReplicaActor.Call call, Consumer<ApiResponse> onAnswer) {
        if (leaving) {
            onAnswer.accept(new ApiResponse(503, Optional.empty(), new byte[0]));
            return;
        }
        ApiRequest api = new ApiRequest(call.path(), call.instanceId(), Optional.empty(), call.body());
        Consumer<ApiResponse> answer = given -> {
            if (given.status() == 200) {
                world.guard(() -> world.fleetChecker().endAcknowledged(machine, call.instanceId(), call.state()));
            }
            onAnswer.accept(given);
        };
        run(() -> {
            core.state().findReplica(call.instanceId()).ifPresent(known -> world.sabotage().heartbeatTaken(this, known));
            if (call.isDeregistration()) {
                core.deregister(api, answer);
            } else {
                core.heartbeat(api, answer);
            }
        });
    }

    /** SIGTERM: hands over, then ends. {@code onEnded} is told whether the others could do without this process. */
    void terminate(Consumer<Boolean> onEnded) {
        leaving = true;
        double untilMs = world.nowMs() + Controller.handoverTimeoutMs(GRACE_PERIOD_SECONDS);
        run(core::beginReplicationShutdown);
        awaitDetached(untilMs, onEnded);
    }

    private void awaitDetached(double untilMs, Consumer<Boolean> onEnded) {
        world.after(
                ControllerCore.TICK_MS,
                () -> run(() -> {
                    boolean detached = world.sabotage().detached(core.isDetached());
                    if (detached || world.nowMs() >= untilMs) {
                        core.leaveFleet();
                        onEnded.accept(detached);
                    } else {
                        awaitDetached(untilMs, onEnded);
                    }
                }));
    }

    void end() {
        alive = false;
        held.clear();
        store.crash();
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> backlog = new ArrayList<>(held);
        held.clear();
        backlog.forEach(this::run);
    }
}
