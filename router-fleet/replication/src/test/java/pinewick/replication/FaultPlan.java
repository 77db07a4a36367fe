package pinewick.replication;

import java.util.ArrayList;
import java.util.List;

/** Troubles of a day, drawn by chance. Disks are lost only within what the deployment says is tolerated. */
final class FaultPlan {
    /** A machine counts as lost for so long after its return. */
    private static final double CATCH_UP_MS = 4_000;

    private final SimulatedCluster cluster;
    private final double endMs;
    boolean eventTriggers;
    /** Whether troubles that spare the disks come to any number of machines at once. */
    boolean wild;

    private int seenAcknowledged;
    private long seenEpoch;

    FaultPlan(SimulatedCluster cluster, double endMs) {
        this.cluster = cluster;
        this.endMs = endMs;
    }

    void begin(double firstMs) {
        cluster.at(firstMs, this::strike);
        cluster.at(firstMs, this::watch);
    }

    private void strike() {
        if (cluster.nowMs() >= endMs) {
            return;
        }
        trouble(cluster.random.nextInt(wild ? 19 : 17));
        cluster.after(cluster.between(50, 2_500), this::strike);
    }

    /** Some faults come right after an acknowledgement. */
    private void watch() {
        if (cluster.nowMs() >= endMs) {
            return;
        }
        if (eventTriggers && cluster.checker.acknowledged > seenAcknowledged && cluster.chance(0.2)) {
            switch (cluster.random.nextInt(4)) {
                case 0, 1 -> wipeWhileTheOthersLosePower();
                case 2 -> killAll();
                default -> killPrimary();
            }
        }
        seenAcknowledged = cluster.checker.acknowledged;
        watchEpochs();
        cluster.after(1, this::watch);
    }

    /** Others come right after an epoch has begun. */
    private void watchEpochs() {
        Machine primary = cluster.primary();
        if (primary == null || primary.epoch() == seenEpoch) {
            return;
        }
        seenEpoch = primary.epoch();
        if (!eventTriggers || !cluster.chance(0.3)) {
            return;
        }
        double delayMs = cluster.between(0, 6);
        switch (cluster.random.nextInt(5)) {
            case 0 -> cluster.after(delayMs, () -> kill(sparing(primary)));
            case 1 -> cluster.after(delayMs, this::killAll);
            case 2 -> cluster.after(delayMs, () -> cutOff(sparing(primary)));
            case 3 -> cluster.after(delayMs, () -> freeze(sparing(primary)));
            default -> cluster.after(delayMs, () -> disk(sparing(primary), SimulatedDisk.Mode.FULL));
        }
    }

    private void trouble(int kind) {
        switch (kind) {
            case 0, 1 -> kill(sparing(anyone()));
            case 2 -> killPrimary();
            case 3 -> killAll();
            case 4 -> wipe(calm(anyone()));
            case 5 -> wipeWhileTheOthersLosePower();
            case 6 -> freeze(sparing(anyone()));
            case 7 -> freeze(sparing(cluster.primary()));
            case 8 -> disk(sparing(anyone()), SimulatedDisk.Mode.SLOW);
            case 9 -> disk(sparing(anyone()), SimulatedDisk.Mode.STALLED);
            case 10 -> disk(sparing(anyone()), SimulatedDisk.Mode.FULL);
            case 11 -> disk(sparing(cluster.primary()), SimulatedDisk.Mode.STALLED);
            case 12 -> cutOff(sparing(anyone()));
            case 13 -> cutOneWay();
            case 14 -> replace(calm(anyone()), cluster.chance(0.5));
            case 15 -> restartGracefully(sparing(anyone()));
            case 16 -> replace(calm(cluster.primary()), cluster.chance(0.5));
            default -> cutInTwo();
        }
    }

    private List<Machine> present() {
        return cluster.machines.stream().filter(machine -> !machine.removed).toList();
    }

    private long lost() {
        return present().stream()
                .filter(machine -> machine.troubledUntilMs > cluster.nowMs())
                .count();
    }

    private Machine anyone() {
        List<Machine> present = present();
        return present.get(cluster.random.nextInt(present.size()));
    }

    /** The machine, if it may get into trouble that spares its disk. */
    private Machine sparing(Machine machine) {
        boolean allowed = wild && machine != null && machine.running() && !machine.frozen();
        return allowed ? machine : calm(machine);
    }

    /** The machine, if it may get into any trouble: no more of them than are tolerated are lost. */
    private Machine calm(Machine machine) {
        boolean allowed = machine != null
                && machine.running()
                && machine.troubledUntilMs <= cluster.nowMs()
                && lost() < cluster.toleratedMachines;
        return allowed ? machine : null;
    }

    private void troubled(Machine machine, double forMs) {
        machine.troubledUntilMs = Math.max(machine.troubledUntilMs, cluster.nowMs() + forMs + CATCH_UP_MS);
    }

    private void restartLater(Machine machine, double delayMs) {
        troubled(machine, delayMs);
        cluster.after(delayMs, () -> machine.start(false));
    }

    private void kill(Machine machine) {
        if (machine != null) {
            machine.kill();
            restartLater(machine, cluster.between(50, 3_000));
        }
    }

    private void killPrimary() {
        kill(sparing(cluster.primary()));
    }

    /** Whatever is tolerated, every process may be killed, or lose power, at once; the disks stay. */
    private void killAll() {
        for (Machine machine : present()) {
            machine.thaw();
            machine.kill();
            restartLater(machine, cluster.between(50, 1_000));
        }
    }

    private void wipe(Machine machine) {
        if (machine == null) {
            return;
        }
        machine.wipe();
        double delayMs = cluster.between(50, 2_000);
        troubled(machine, delayMs);
        cluster.after(delayMs, () -> machine.start(false));
    }

    private void wipeWhileTheOthersLosePower() {
        if (lost() > 0) {
            return;
        }
        List<Machine> machines = new ArrayList<>(present());
        java.util.Collections.shuffle(machines, cluster.random);
        int wiped = 1 + cluster.random.nextInt(Math.max(1, cluster.toleratedMachines));
        for (int index = 0; index < machines.size(); index++) {
            Machine machine = machines.get(index);
            if (index < Math.min(wiped, cluster.toleratedMachines)) {
                wipe(machine);
            } else {
                machine.kill();
                restartLater(machine, cluster.between(50, 1_500));
            }
        }
    }

    private void freeze(Machine machine) {
        if (machine != null) {
            double forMs = cluster.between(100, 4_000);
            troubled(machine, forMs);
            machine.freeze();
            cluster.after(forMs, machine::thaw);
        }
    }

    private void disk(Machine machine, SimulatedDisk.Mode mode) {
        if (machine == null) {
            return;
        }
        double forMs = cluster.between(200, 4_000);
        troubled(machine, forMs);
        cluster.note(machine + " disk " + mode);
        machine.disk.slowMs = cluster.between(20, 900);
        machine.disk.mode = mode;
        cluster.after(forMs, () -> {
            cluster.note(machine + " disk good");
            machine.disk.mode = SimulatedDisk.Mode.HEALTHY;
        });
    }

    private void cutOff(Machine machine) {
        if (machine == null) {
            return;
        }
        double forMs = cluster.between(100, 4_000);
        troubled(machine, forMs);
        boolean inbound = cluster.chance(0.7);
        boolean outbound = !inbound || cluster.chance(0.6);
        cluster.note(machine + " cut off, inbound " + inbound + ", outbound " + outbound);
        for (Machine other : present()) {
            cutLater(other, machine, inbound, forMs);
            cutLater(machine, other, outbound, forMs);
        }
    }

    private void cutLater(Machine from, Machine to, boolean wanted, double forMs) {
        if (wanted) {
            cluster.cut(from, to);
            cluster.after(forMs, () -> cluster.join(from, to));
        }
    }

    private void cutOneWay() {
        Machine machine = sparing(anyone());
        if (machine != null) {
            List<Machine> present = present();
            Machine other = present.get(cluster.random.nextInt(present.size()));
            double forMs = cluster.between(100, 5_000);
            troubled(machine, forMs);
            cluster.note("cut from " + machine + " to " + other);
            cutLater(machine, other, true, forMs);
        }
    }

    private void cutInTwo() {
        double forMs = cluster.between(100, 5_000);
        cluster.note("the core is cut in two");
        List<Machine> left =
                present().stream().filter(machine -> cluster.chance(0.5)).toList();
        for (Machine machine : present()) {
            troubled(machine, forMs);
            for (Machine other : present()) {
                if (left.contains(machine) != left.contains(other)) {
                    cutLater(machine, other, true, forMs);
                }
            }
        }
    }

    /** Taken away forever; an empty machine at another address takes its place. */
    private void replace(Machine machine, boolean planned) {
        if (machine == null) {
            return;
        }
        double leaveMs = planned ? cluster.between(100, 1_500) : 0;
        double startMs = leaveMs + cluster.between(0, 1_500);
        troubled(machine, startMs);
        if (planned) {
            machine.leave();
        }
        Machine successor = cluster.addMachine();
        successor.troubledUntilMs = cluster.nowMs() + startMs + CATCH_UP_MS;
        successor.seeds = cluster.chance(0.5)
                ? machine.seeds
                : present().stream().limit(3).map(present -> present.address).toList();
        cluster.after(leaveMs, () -> {
            cluster.note(machine + " removed, " + successor + " in its place");
            machine.kill();
            machine.removed = true;
        });
        cluster.after(startMs, () -> successor.start(false));
    }

    private void restartGracefully(Machine machine) {
        if (machine != null) {
            double leaveMs = cluster.between(50, 1_500);
            double downMs = cluster.between(50, 1_500);
            troubled(machine, leaveMs + downMs);
            machine.leave();
            cluster.after(leaveMs, machine::kill);
            cluster.after(leaveMs + downMs, () -> machine.start(false));
        }
    }

    /** Ends every trouble. */
    void heal() {
        cluster.note("all troubles end");
        cluster.joinAll();
        for (Machine machine : present()) {
            machine.disk.mode = SimulatedDisk.Mode.HEALTHY;
            machine.thaw();
            machine.start(false);
        }
    }
}
