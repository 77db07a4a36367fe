package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;

/** A machine with a disk and, while it runs, a controller's process. */
final class ControllerMachine {
    private static final double FIRST_WALL_CLOCK_MS = 1.8e12;
    private static final int INTERNAL_PORT = 7721;
    private static final int API_PORT = 8166;

    private final SimulatedSystem system;
    private final int number;
    private final String host;
    private final SocketAddress internal;
    private final SocketAddress api;
    private final SplittableRandom random;
    private final SimulatedDisk disk = new SimulatedDisk();
    private List<SocketAddress> seeds = List.of();
    private Optional<ControllerProcess> process = Optional.empty();
    private double wallClockStepMs;
    private double lostUntilMs;
    private double lastFaultMs;
    private double lastResumeMs = Double.NEGATIVE_INFINITY;
    private double lastHeartbeatSentMs = Double.NEGATIVE_INFINITY;
    private boolean removed;

    ControllerMachine(SimulatedSystem system, int number, SplittableRandom random) {
        this.system = system;
        this.number = number;
        this.api = apiOf(number);
        this.host = api.host();
        this.internal = new SocketAddress(host, INTERNAL_PORT);
        this.random = random;
        system.network()
                .listen(
                        internal,
                        (sender, message) -> process.ifPresent(running -> running.onMessage(sender, message)));
    }

    static SocketAddress apiOf(int number) {
        return new SocketAddress("10.1.0." + number, API_PORT);
    }

    /** The number of the machine, from 1. */
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

    void setSeeds(List<SocketAddress> addresses) {
        seeds = List.copyOf(addresses);
    }

    double wallClockMs() {
        return FIRST_WALL_CLOCK_MS + system.nowMs() + wallClockStepMs;
    }

    void stepClock(double stepMs) {
        wallClockStepMs += stepMs;
    }

    Optional<ControllerProcess> process() {
        return process;
    }

    boolean isRunning() {
        return process.isPresent();
    }

    boolean isFrozen() {
        return process.filter(ControllerProcess::isFrozen).isPresent();
    }

    /** Whether its process runs, is not frozen, and its disk is healthy. */
    boolean isHealthy() {
        return isRunning() && !isFrozen() && disk.mode == SimulatedDisk.Mode.HEALTHY;
    }

    boolean isPrimary() {
        return process.filter(ControllerProcess::isPrimary).isPresent();
    }

    /** Records that it sends a heartbeat as primary. */
    void onHeartbeatSent() {
        lastHeartbeatSentMs = system.nowMs();
    }

    /** When it last sent a heartbeat as primary. */
    double lastHeartbeatSentMs() {
        return lastHeartbeatSentMs;
    }

    /** Records that it has a fault at this moment or cannot reach the majority. */
    void onFault() {
        lastFaultMs = system.nowMs();
    }

    /** Whether it has been running and reaching the majority since {@code sinceMs}. */
    boolean isUndisturbedSince(double sinceMs) {
        return lastFaultMs < sinceMs;
    }

    /** When it last resumed from a freeze. */
    double lastResumeMs() {
        return lastResumeMs;
    }

    boolean isRemoved() {
        return removed;
    }

    /** The time until which this machine counts as lost. */
    double lostUntilMs() {
        return lostUntilMs;
    }

    void markLostUntil(double atMs) {
        lostUntilMs = Math.max(lostUntilMs, atMs);
    }

    void start(boolean firstStart) {
        if (removed || isRunning()) {
            return;
        }
        system.trace(host + " starts" + (firstStart ? " for the first time" : ""));
        system.onControllerFault();
        onFault();
        ControllerProcess started = new ControllerProcess(system, this, random.split(), firstStart);
        process = Optional.of(started);
        started.start();
    }

    /** SIGKILL or loss of power; a pending write may be on the disk or not. */
    void kill() {
        if (isRunning()) {
            system.trace(host + " killed");
            system.onControllerFault();
            process.get().stop();
            process = Optional.empty();
        }
    }

    /** SIGTERM. {@code onExited} receives whether the process was detached by then. */
    void terminate(Consumer<Boolean> onExited) {
        if (isRunning() && !process.get().isShuttingDown()) {
            system.trace(host + " receives SIGTERM");
            system.onControllerFault();
            ControllerProcess exiting = process.get();
            exiting.terminate(detached -> {
                system.trace(host + " exits, detached: " + detached);
                if (detached) {
                    system.guard(() -> system.onDetached(this));
                }
                kill();
                onExited.accept(detached);
            });
        }
    }

    void wipe() {
        kill();
        system.trace(host + " disk wiped");
        disk.wipe();
    }

    void remove() {
        kill();
        removed = true;
    }

    void freeze() {
        system.trace(host + " frozen");
        process.ifPresent(ControllerProcess::freeze);
    }

    void resume() {
        if (isFrozen()) {
            system.trace(host + " resumes");
            lastResumeMs = system.nowMs();
            onFault();
            system.onControllerFault();
            process.get().resume();
        }
    }

    @Override
    public String toString() {
        return host;
    }
}
