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
 * A replica's calls: heartbeats, the announcement of an end, the deregistration. A call without a 2xx within a second
 * goes to the next controller. After its end another instance comes up at the same address.
 */
final class ReplicaActor {
    private static final double TIME_OUT_MS = 1_000;
    private static final double LATE_SHARE = 0.05;
    private static final double UNACKNOWLEDGED_END_MS = 4_000;
    private static final int MOST_TRIES = 6;

    /**
     * One call.
     *
     * @param state what the replica says of itself, {@link ReplicaState#GONE} for a deregistration
     */
    record Call(String instanceId, ReplicaState state, byte[] body) {
        boolean isDeregistration() {
            return state == ReplicaState.GONE;
        }

        String path() {
            return "/instances/" + instanceId + (isDeregistration() ? "/deregister" : "/heartbeat");
        }
    }

    private final ControlWorld world;
    private final String host;
    private final SplittableRandom random;
    private int instances;
    private int life;
    private long callSequence;
    private ReplicaState state;
    private int controller;
    private Optional<ControllerMachine> lure = Optional.empty();
    private double lureUntilMs;

    ReplicaActor(ControlWorld world, int number, SplittableRandom random) {
        this.world = world;
        this.host = "10.3.0." + number;
        this.random = random;
    }

    /** Until then its calls go to this controller first. */
    void lureTo(ControllerMachine machine, double untilMs) {
        lure = Optional.of(machine);
        lureUntilMs = untilMs;
    }

    /** A new instance comes up. */
    void start() {
        life++;
        instances++;
        callSequence = 0;
        state = ReplicaState.READY;
        int current = life;
        world.after(random.nextDouble(ControlWorld.HEARTBEAT_MS), () -> beat(current));
    }

    private String instanceId() {
        return host + "-" + instances;
    }

    private void beat(int current) {
        if (life != current || state == ReplicaState.GONE) {
            return;
        }
        Call call = new Call(instanceId(), state, body());
        tryCall(call, 1, current, acknowledged -> {
            if (acknowledged && call.state() == ReplicaState.DRAINING) {
                world.after(ControlWorld.DRAIN_MS, () -> deregister(current));
            }
        });
        if (random.nextDouble() < LATE_SHARE) {
            ControllerMachine other = next();
            world.after(random.nextDouble(500, 4_000), () -> other.life()
                    .ifPresent(running -> running.replicaCalls(call, answer -> {})));
        }
        world.after(ControlWorld.HEARTBEAT_MS * random.nextDouble(0.95, 1.05), () -> beat(current));
    }

    private byte[] body() {
        callSequence++;
        String text = "{\"service\":\"s0\",\"address\":\"" + host + ":8080\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":4,\"state\":\"" + (state == ReplicaState.READY ? "ready" : "draining")
                + "\",\"cold_remaining_ms\":0,\"call_sequence\":" + callSequence + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Announces the end of this instance. */
    void drain() {
        if (state != ReplicaState.READY) {
            return;
        }
        world.note(host + " drains " + instanceId());
        state = ReplicaState.DRAINING;
        int current = life;
        beat(current);
        world.after(UNACKNOWLEDGED_END_MS + ControlWorld.DRAIN_MS, () -> endOf(current));
    }

    /** Ends without having said draining. */
    void deregisterFirst() {
        if (state == ReplicaState.READY) {
            int current = life;
            deregister(current);
            world.after(ControlWorld.DRAIN_MS, () -> endOf(current));
        }
    }

    /** Ends and says nothing. */
    void crash() {
        endOf(life);
    }

    private void deregister(int current) {
        if (life != current || state == ReplicaState.GONE) {
            return;
        }
        world.note(host + " deregisters " + instanceId());
        state = ReplicaState.GONE;
        Call call = new Call(instanceId(), ReplicaState.GONE, new byte[0]);
        tryCall(call, 1, current, acknowledged -> endOf(current));
    }

    private void endOf(int current) {
        if (life == current) {
            life++;
            state = ReplicaState.GONE;
            world.after(random.nextDouble(200, 1_500), this::start);
        }
    }

    private ControllerMachine next() {
        if (lure.isPresent() && world.nowMs() < lureUntilMs && lure.get().running()) {
            return lure.get();
        }
        List<ControllerMachine> present = world.present();
        return present.get(Math.floorMod(controller, present.size()));
    }

    private void tryCall(Call call, int tries, int current, Consumer<Boolean> onEnd) {
        if (life != current) {
            return;
        }
        ControllerMachine target = tries == 1 ? next() : nextButLured();
        List<Boolean> ended = new ArrayList<>();
        Consumer<Boolean> end = acknowledged -> {
            if (!ended.isEmpty()) {
                return;
            }
            ended.add(acknowledged);
            if (acknowledged) {
                onEnd.accept(true);
            } else if (tries < MOST_TRIES) {
                controller++;
                tryCall(call, tries + 1, current, onEnd);
            } else {
                onEnd.accept(false);
            }
        };
        world.after(TIME_OUT_MS, () -> end.accept(false));
        world.network().transfer(host, target.host(), () -> arrive(call, target, end));
    }

    private ControllerMachine nextButLured() {
        List<ControllerMachine> present = world.present();
        return present.get(Math.floorMod(controller, present.size()));
    }

    private void arrive(Call call, ControllerMachine target, Consumer<Boolean> end) {
        Optional<ControllerLife> running = target.life();
        if (running.isEmpty()) {
            world.network().transfer(target.host(), host, () -> end.accept(false));
            return;
        }
        running.get().replicaCalls(call, (ApiResponse answer) -> world.network()
                .transfer(target.host(), host, () -> end.accept(answer.status() == 200)));
    }
}
