package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;

/** A machine with a disk and, at times, a controller's process. */
final class ControllerMachine {
    private static final double FIRST_WALL_CLOCK_MS = 1.8e12;
    private static final int INTERNAL_PORT = 7721;
    private static final int API_PORT = 8166;

    private final ControlWorld world;
    private final int number;
    private final String host;
    private final SocketAddress internal;
    private final SocketAddress api;
    private final SplittableRandom random;
    private final SimulatedDisk disk = new SimulatedDisk();
    private List<SocketAddress> seeds = List.of();
    private Optional<ControllerLife> life = Optional.empty();
    private double wallClockStepMs;
    private double troubledUntilMs;
    private double lastTroubleMs;
    private double lastThawMs = Double.NEGATIVE_INFINITY;
    private double lastLedMs = Double.NEGATIVE_INFINITY;
    private boolean removed;

    ControllerMachine(ControlWorld world, int number, SplittableRandom random) {
        this.world = world;
        this.number = number;
        this.api = apiOf(number);
        this.host = api.host();
        this.internal = new SocketAddress(host, INTERNAL_PORT);
        this.random = random;
        world.network()
                .listen(internal, (sender, message) -> life.ifPresent(running -> running.onMessage(sender, message)));
    }

    static SocketAddress apiOf(int number) {
        return new SocketAddress("10.1.0." + number, API_PORT);
    }

    /** Counts the machines from 1 on. */
    int number() {
        return number;
    }

    String host() {
        return host;
    }

    SocketAddress internal() {
        return internal;
    }

    SocketAddress api() {
        return api;
    }

    String zone() {
        return "zone-a";
    }

    SimulatedDisk disk() {
        return disk;
    }

    List<SocketAddress> seeds() {
        return seeds;
    }

    void seeds(List<SocketAddress> told) {
        seeds = List.copyOf(told);
    }

    double wallClockMs() {
        return FIRST_WALL_CLOCK_MS + world.nowMs() + wallClockStepMs;
    }

    void stepClock(double byMs) {
        wallClockStepMs += byMs;
    }

    Optional<ControllerLife> life() {
        return life;
    }

    boolean running() {
        return life.isPresent();
    }

    boolean frozen() {
        return life.filter(ControllerLife::frozen).isPresent();
    }

    /** Whether its process runs, is not frozen, and its disk is good. */
    boolean sound() {
        return running() && !frozen() && disk.mode == SimulatedDisk.Mode.GOOD;
    }

    boolean leads() {
        return life.filter(ControllerLife::leads).isPresent();
    }

    /** It said as a primary that it leads. */
    void led() {
        lastLedMs = world.nowMs();
    }

    /** When it last said that it leads. */
    double lastLedMs() {
        return lastLedMs;
    }

    /** Something befell it at this moment, or it could not reach the controllers that matter. */
    void troubled() {
        lastTroubleMs = world.nowMs();
    }

    /** Whether it ran, and reached every controller that matters, from {@code sinceMs} on. */
    boolean calmSince(double sinceMs) {
        return lastTroubleMs < sinceMs;
    }

    /** When it was last thawed. */
    double lastThawMs() {
        return lastThawMs;
    }

    boolean removed() {
        return removed;
    }

    /** Until then this machine counts as lost. */
    double troubledUntilMs() {
        return troubledUntilMs;
    }

    void troubledUntil(double atMs) {
        troubledUntilMs = Math.max(troubledUntilMs, atMs);
    }

    void start(boolean firstStart) {
        if (removed || running()) {
            return;
        }
        world.note(host + " starts" + (firstStart ? " for the first time" : ""));
        world.coreTrouble();
        troubled();
        ControllerLife started = new ControllerLife(world, this, random.split(), firstStart);
        life = Optional.of(started);
        started.start();
    }

    /** The process ends without a word; what it had asked the disk for may be there. */
    void kill() {
        if (running()) {
            world.note(host + " killed");
            world.coreTrouble();
            life.get().end();
            life = Optional.empty();
        }
    }

    /** SIGTERM. {@code onEnded} is told whether the others could do without this process. */
    void terminate(Consumer<Boolean> onEnded) {
        if (running() && !life.get().leaving()) {
            world.note(host + " is asked to end");
            world.coreTrouble();
            ControllerLife ending = life.get();
            ending.terminate(detached -> {
                world.note(host + " ends, detached " + detached);
                if (detached) {
                    world.guard(() -> world.detached(this));
                }
                kill();
                onEnded.accept(detached);
            });
        }
    }

    void wipe() {
        kill();
        world.note(host + " loses its disk");
        disk.wipe();
    }

    void remove() {
        kill();
        removed = true;
    }

    void freeze() {
        world.note(host + " frozen");
        life.ifPresent(ControllerLife::freeze);
    }

    void thaw() {
        if (frozen()) {
            world.note(host + " thaws");
            lastThawMs = world.nowMs();
            troubled();
            world.coreTrouble();
            life.get().thaw();
        }
    }

    @Override
    public String toString() {
        return host;
    }
}
