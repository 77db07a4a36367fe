package pinewick.emulator.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.control.ApiResponse;
import pinewick.model.ReplicaState;

/**
 * The requests of a replica: heartbeats, the drain and the deregistration. A request without a 2xx response within one
 * second is retried at the next controller. When an instance has ended, another one starts at the same address.
 */
final class ReplicaActor {
    private static final double TIMEOUT_MS = 1_000;
    private static final double LATE_PROBABILITY = 0.05;
    private static final double MAX_DRAIN_MS = 4_000;
    private static final int MAX_ATTEMPTS = 6;

    /**
     * One request.
     *
     * @param state the reported state, {@link ReplicaState#GONE} for a deregistration
     */
    record Call(String instanceId, ReplicaState state, byte[] body) {
        boolean isDeregistration() {
            return state == ReplicaState.GONE;
        }

        String path() {
            return "/instances/" + instanceId + (isDeregistration() ? "/deregister" : "/heartbeat");
        }
    }

    private final SimulatedSystem system;
    private final String host;
    private final SplittableRandom random;
    private int instanceCount;
    private int incarnation;
    private long callSequence;
    private ReplicaState state;
    private int controller;
    private Optional<ControllerMachine> preferredController = Optional.empty();
    private double preferredUntilMs;

    ReplicaActor(SimulatedSystem system, int number, SplittableRandom random) {
        this.system = system;
        this.host = "10.3.0." + number;
        this.random = random;
    }

    /** Sends requests to this controller first, until the given time. */
    void preferController(ControllerMachine machine, double untilMs) {
        preferredController = Optional.of(machine);
        preferredUntilMs = untilMs;
    }

    /** Starts a new instance. */
    void start() {
        incarnation++;
        instanceCount++;
        callSequence = 0;
        state = ReplicaState.READY;
        int current = incarnation;
        system.after(random.nextDouble(SimulatedSystem.HEARTBEAT_MS), () -> heartbeat(current));
    }

    private String instanceId() {
        return host + "-" + instanceCount;
    }

    private void heartbeat(int current) {
        if (incarnation != current || state == ReplicaState.GONE) {
            return;
        }
        Call call = new Call(instanceId(), state, body());
        attempt(call, 1, current, acknowledged -> {
            if (acknowledged && call.state() == ReplicaState.DRAINING) {
                system.after(SimulatedSystem.DRAIN_MS, () -> deregister(current));
            }
        });
        if (random.nextDouble() < LATE_PROBABILITY) {
            ControllerMachine other = nextController();
            system.after(random.nextDouble(500, 4_000), () -> other.process()
                    .ifPresent(process -> process.onReplicaCall(call, response -> {})));
        }
        system.after(SimulatedSystem.HEARTBEAT_MS * random.nextDouble(0.95, 1.05), () -> heartbeat(current));
    }

    private byte[] body() {
        callSequence++;
        String text = "{\"service\":\"s0\",\"address\":\"" + host + ":8080\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":4,\"state\":\"" + (state == ReplicaState.READY ? "ready" : "draining")
                + "\",\"cold_remaining_ms\":0,\"call_sequence\":" + callSequence + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Drains this instance. */
    void drain() {
        if (state != ReplicaState.READY) {
            return;
        }
        system.trace(host + " drains " + instanceId());
        state = ReplicaState.DRAINING;
        int current = incarnation;
        heartbeat(current);
        system.after(MAX_DRAIN_MS + SimulatedSystem.DRAIN_MS, () -> endIncarnation(current));
    }

    /** Deregisters without draining first. */
    void deregisterWithoutDrain() {
        if (state == ReplicaState.READY) {
            int current = incarnation;
            deregister(current);
            system.after(SimulatedSystem.DRAIN_MS, () -> endIncarnation(current));
        }
    }

    /** Ends without sending a request. */
    void crash() {
        endIncarnation(incarnation);
    }

    private void deregister(int current) {
        if (incarnation != current || state == ReplicaState.GONE) {
            return;
        }
        system.trace(host + " deregisters " + instanceId());
        state = ReplicaState.GONE;
        Call call = new Call(instanceId(), ReplicaState.GONE, new byte[0]);
        attempt(call, 1, current, acknowledged -> endIncarnation(current));
    }

    private void endIncarnation(int current) {
        if (incarnation == current) {
            incarnation++;
            state = ReplicaState.GONE;
            system.after(random.nextDouble(200, 1_500), this::start);
        }
    }

    private ControllerMachine nextController() {
        if (preferredController.isPresent()
                && system.nowMs() < preferredUntilMs
                && preferredController.get().isRunning()) {
            return preferredController.get();
        }
        List<ControllerMachine> present = system.present();
        return present.get(Math.floorMod(controller, present.size()));
    }

    private void attempt(Call call, int attempts, int current, Consumer<Boolean> onCompleted) {
        if (incarnation != current) {
            return;
        }
        ControllerMachine target = attempts == 1 ? nextController() : nextInRotation();
        List<Boolean> results = new ArrayList<>();
        Consumer<Boolean> complete = acknowledged -> {
            if (!results.isEmpty()) {
                return;
            }
            results.add(acknowledged);
            if (acknowledged) {
                onCompleted.accept(true);
            } else if (attempts < MAX_ATTEMPTS) {
                controller++;
                attempt(call, attempts + 1, current, onCompleted);
            } else {
                onCompleted.accept(false);
            }
        };
        system.after(TIMEOUT_MS, () -> complete.accept(false));
        system.network().transfer(host, target.host(), () -> deliver(call, target, complete));
    }

    private ControllerMachine nextInRotation() {
        List<ControllerMachine> present = system.present();
        return present.get(Math.floorMod(controller, present.size()));
    }

    private void deliver(Call call, ControllerMachine target, Consumer<Boolean> complete) {
        Optional<ControllerProcess> process = target.process();
        if (process.isEmpty()) {
            system.network().transfer(target.host(), host, () -> complete.accept(false));
            return;
        }
        process.get().onReplicaCall(call, (ApiResponse response) -> system.network()
                .transfer(target.host(), host, () -> complete.accept(response.status() == 200)));
    }
}
