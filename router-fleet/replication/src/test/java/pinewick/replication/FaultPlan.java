package pinewick.replication;

import java.util.ArrayList;
import java.util.List;

/** Random faults during a run. No more disks are lost at a time than the deployment tolerates. */
final class FaultPlan {
    /** How long a machine still counts as lost after its return. */
    private static final double CATCH_UP_MS = 4_000;

    private final SimulatedCluster cluster;
    private final double endMs;
    boolean eventTriggers;
    /** Whether faults that keep the disk may affect any number of machines at once. */
    boolean unlimitedTransientFaults;

    private int seenAcknowledged;
    private long seenEpoch;

    FaultPlan(SimulatedCluster cluster, double endMs) {
        this.cluster = cluster;
        this.endMs = endMs;
    }

    void start(double firstMs) {
        cluster.scheduleAt(firstMs, this::injectRandomFault);
        cluster.scheduleAt(firstMs, this::pollAcknowledgements);
    }

    private void injectRandomFault() {
        if (cluster.nowMs() >= endMs) {
            return;
        }
        injectFault(cluster.random.nextInt(unlimitedTransientFaults ? 19 : 17));
        cluster.scheduleAfter(cluster.randomBetween(50, 2_500), this::injectRandomFault);
    }

    /** Injects some faults right after an acknowledgement. */
    private void pollAcknowledgements() {
        if (cluster.nowMs() >= endMs) {
            return;
        }
        if (eventTriggers && cluster.checker.acknowledged > seenAcknowledged && cluster.randomBoolean(0.2)) {
            switch (cluster.random.nextInt(4)) {
                case 0, 1 -> wipeWhileOthersLosePower();
                case 2 -> killAll();
                default -> killPrimary();
            }
        }
        seenAcknowledged = cluster.checker.acknowledged;
        pollEpochs();
        cluster.scheduleAfter(1, this::pollAcknowledgements);
    }

    /** Injects some faults right after an epoch has started. */
    private void pollEpochs() {
        Machine primary = cluster.primary();
        if (primary == null || primary.epoch() == seenEpoch) {
            return;
        }
        seenEpoch = primary.epoch();
        if (!eventTriggers || !cluster.randomBoolean(0.3)) {
            return;
        }
        double delayMs = cluster.randomBetween(0, 6);
        switch (cluster.random.nextInt(5)) {
            case 0 -> cluster.scheduleAfter(delayMs, () -> kill(eligibleForTransientFault(primary)));
            case 1 -> cluster.scheduleAfter(delayMs, this::killAll);
            case 2 -> cluster.scheduleAfter(delayMs, () -> isolate(eligibleForTransientFault(primary)));
            case 3 -> cluster.scheduleAfter(delayMs, () -> freeze(eligibleForTransientFault(primary)));
            default -> cluster.scheduleAfter(
                    delayMs, () -> degradeDisk(eligibleForTransientFault(primary), SimulatedDisk.Mode.FULL));
        }
    }

    private void injectFault(int kind) {
        switch (kind) {
            case 0, 1 -> kill(eligibleForTransientFault(randomMachine()));
            case 2 -> killPrimary();
            case 3 -> killAll();
            case 4 -> wipe(eligibleForAnyFault(randomMachine()));
            case 5 -> wipeWhileOthersLosePower();
            case 6 -> freeze(eligibleForTransientFault(randomMachine()));
            case 7 -> freeze(eligibleForTransientFault(cluster.primary()));
            case 8 -> degradeDisk(eligibleForTransientFault(randomMachine()), SimulatedDisk.Mode.SLOW);
            case 9 -> degradeDisk(eligibleForTransientFault(randomMachine()), SimulatedDisk.Mode.STALLED);
            case 10 -> degradeDisk(eligibleForTransientFault(randomMachine()), SimulatedDisk.Mode.FULL);
            case 11 -> degradeDisk(eligibleForTransientFault(cluster.primary()), SimulatedDisk.Mode.STALLED);
            case 12 -> isolate(eligibleForTransientFault(randomMachine()));
            case 13 -> cutOneDirection();
            case 14 -> replace(eligibleForAnyFault(randomMachine()), cluster.randomBoolean(0.5));
            case 15 -> restartGracefully(eligibleForTransientFault(randomMachine()));
            case 16 -> replace(eligibleForAnyFault(cluster.primary()), cluster.randomBoolean(0.5));
            default -> partition();
        }
    }

    private List<Machine> remainingMachines() {
        return cluster.machines.stream().filter(machine -> !machine.removed).toList();
    }

    private long countLost() {
        return remainingMachines().stream()
                .filter(machine -> machine.faultyUntilMs > cluster.nowMs())
                .count();
    }

    private Machine randomMachine() {
        List<Machine> remainingMachines = remainingMachines();
        return remainingMachines.get(cluster.random.nextInt(remainingMachines.size()));
    }

    /** The machine, if it may be affected by a fault that keeps its disk; otherwise null. */
    private Machine eligibleForTransientFault(Machine machine) {
        boolean allowed = unlimitedTransientFaults && machine != null && machine.running() && !machine.frozen();
        return allowed ? machine : eligibleForAnyFault(machine);
    }

    /**
     * The machine, if it may be affected by any fault; otherwise null. At most the tolerated number may count as lost.
     */
    private Machine eligibleForAnyFault(Machine machine) {
        boolean allowed = machine != null
                && machine.running()
                && machine.faultyUntilMs <= cluster.nowMs()
                && countLost() < cluster.toleratedMachines;
        return allowed ? machine : null;
    }

    private void markFaulty(Machine machine, double durationMs) {
        machine.faultyUntilMs = Math.max(machine.faultyUntilMs, cluster.nowMs() + durationMs + CATCH_UP_MS);
    }

    private void scheduleRestart(Machine machine, double delayMs) {
        markFaulty(machine, delayMs);
        cluster.scheduleAfter(delayMs, () -> machine.start(false));
    }

    private void kill(Machine machine) {
        if (machine != null) {
            machine.kill();
            scheduleRestart(machine, cluster.randomBetween(50, 3_000));
        }
    }

    private void killPrimary() {
        kill(eligibleForTransientFault(cluster.primary()));
    }

    /** Kills all processes at once, as on a power loss. This is always allowed, because the disks are not lost. */
    private void killAll() {
        for (Machine machine : remainingMachines()) {
            machine.thaw();
            machine.kill();
            scheduleRestart(machine, cluster.randomBetween(50, 1_000));
        }
    }

    private void wipe(Machine machine) {
        if (machine == null) {
            return;
        }
        machine.wipe();
        double delayMs = cluster.randomBetween(50, 2_000);
        markFaulty(machine, delayMs);
        cluster.scheduleAfter(delayMs, () -> machine.start(false));
    }

    private void wipeWhileOthersLosePower() {
        if (countLost() > 0) {
            return;
        }
        List<Machine> machines = new ArrayList<>(remainingMachines());
        java.util.Collections.shuffle(machines, cluster.random);
        int wiped = 1 + cluster.random.nextInt(Math.max(1, cluster.toleratedMachines));
        for (int index = 0; index < machines.size(); index++) {
            Machine machine = machines.get(index);
            if (index < Math.min(wiped, cluster.toleratedMachines)) {
                wipe(machine);
            } else {
                machine.kill();
                scheduleRestart(machine, cluster.randomBetween(50, 1_500));
            }
        }
    }

    private void freeze(Machine machine) {
        if (machine != null) {
            double durationMs = cluster.randomBetween(100, 4_000);
            markFaulty(machine, durationMs);
            machine.freeze();
            cluster.scheduleAfter(durationMs, machine::thaw);
        }
    }

    private void degradeDisk(Machine machine, SimulatedDisk.Mode mode) {
        if (machine == null) {
            return;
        }
        double durationMs = cluster.randomBetween(200, 4_000);
        markFaulty(machine, durationMs);
        cluster.logEvent(machine + " disk " + mode);
        machine.disk.slowMs = cluster.randomBetween(20, 900);
        machine.disk.mode = mode;
        cluster.scheduleAfter(durationMs, () -> {
            cluster.logEvent(machine + " disk healthy");
            machine.disk.mode = SimulatedDisk.Mode.HEALTHY;
        });
    }

    private void isolate(Machine machine) {
        if (machine == null) {
            return;
        }
        double durationMs = cluster.randomBetween(100, 4_000);
        markFaulty(machine, durationMs);
        boolean inbound = cluster.randomBoolean(0.7);
        boolean outbound = !inbound || cluster.randomBoolean(0.6);
        cluster.logEvent(machine + " isolated, inbound " + inbound + ", outbound " + outbound);
        for (Machine other : remainingMachines()) {
            cutTemporarily(other, machine, inbound, durationMs);
            cutTemporarily(machine, other, outbound, durationMs);
        }
    }

    private void cutTemporarily(Machine from, Machine to, boolean enabled, double durationMs) {
        if (enabled) {
            cluster.cutLink(from, to);
            cluster.scheduleAfter(durationMs, () -> cluster.restoreLink(from, to));
        }
    }

    private void cutOneDirection() {
        Machine machine = eligibleForTransientFault(randomMachine());
        if (machine != null) {
            List<Machine> remainingMachines = remainingMachines();
            Machine other = remainingMachines.get(cluster.random.nextInt(remainingMachines.size()));
            double durationMs = cluster.randomBetween(100, 5_000);
            markFaulty(machine, durationMs);
            cluster.logEvent("link cut from " + machine + " to " + other);
            cutTemporarily(machine, other, true, durationMs);
        }
    }

    private void partition() {
        double durationMs = cluster.randomBetween(100, 5_000);
        cluster.logEvent("network partition");
        List<Machine> firstSide = remainingMachines().stream()
                .filter(machine -> cluster.randomBoolean(0.5))
                .toList();
        for (Machine machine : remainingMachines()) {
            markFaulty(machine, durationMs);
            for (Machine other : remainingMachines()) {
                if (firstSide.contains(machine) != firstSide.contains(other)) {
                    cutTemporarily(machine, other, true, durationMs);
                }
            }
        }
    }

    /** Removes a machine forever and replaces it by an empty one at another address. */
    private void replace(Machine machine, boolean graceful) {
        if (machine == null) {
            return;
        }
        double shutdownMs = graceful ? cluster.randomBetween(100, 1_500) : 0;
        double startMs = shutdownMs + cluster.randomBetween(0, 1_500);
        markFaulty(machine, startMs);
        if (graceful) {
            machine.beginShutdown();
        }
        Machine successor = cluster.addMachine();
        successor.faultyUntilMs = cluster.nowMs() + startMs + CATCH_UP_MS;
        successor.seeds = cluster.randomBoolean(0.5)
                ? machine.seeds
                : remainingMachines().stream()
                        .limit(3)
                        .map(seed -> seed.address)
                        .toList();
        cluster.scheduleAfter(shutdownMs, () -> {
            cluster.logEvent(machine + " removed, " + successor + " takes its place");
            machine.kill();
            machine.removed = true;
        });
        cluster.scheduleAfter(startMs, () -> successor.start(false));
    }

    private void restartGracefully(Machine machine) {
        if (machine != null) {
            double shutdownMs = cluster.randomBetween(50, 1_500);
            double downMs = cluster.randomBetween(50, 1_500);
            markFaulty(machine, shutdownMs + downMs);
            machine.beginShutdown();
            cluster.scheduleAfter(shutdownMs, machine::kill);
            cluster.scheduleAfter(shutdownMs + downMs, () -> machine.start(false));
        }
    }

    /** Ends all faults and starts all machines. */
    void endAllFaults() {
        cluster.logEvent("all faults end");
        cluster.restoreAllLinks();
        for (Machine machine : remainingMachines()) {
            machine.disk.mode = SimulatedDisk.Mode.HEALTHY;
            machine.thaw();
            machine.start(false);
        }
    }
}
