package pinewick.replication;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** Sends changes and reads to the machines, over links that lose answers, and sends again what got no clear answer. */
final class Operator {
    private static final int MOST_TRIES = 25;
    private static final double TIME_OUT_MS = 1_000;

    private final World world;
    private long believedCurrent;
    double answerLossShare = 0.02;
    boolean stopped;

    Operator(World world) {
        this.world = world;
    }

    /** Sends changes over and over. */
    void work(double untilMs) {
        if (world.nowMs() >= untilMs || stopped) {
            return;
        }
        submit(nextChange(), () -> {});
        if (world.chance(0.2)) {
            read(() -> {});
        }
        double pauseMs = world.chance(0.3) ? world.between(1, 30) : world.between(50, 900);
        world.after(pauseMs, () -> work(untilMs));
    }

    private Change nextChange() {
        long current = Math.max(believedCurrent, world.chance(0.8) ? world.checker.newestAcknowledged() : 0);
        long base = world.chance(0.9) ? current : Math.max(0, current - world.random.nextInt(4));
        long version = base + (world.chance(0.95) ? 1 + world.random.nextInt(3) : 0);
        ConfigurationChange.Kind kind =
                world.chance(0.5) ? ConfigurationChange.Kind.REPLACE : ConfigurationChange.Kind.UPDATE;
        return world.checker.make(kind, base, version, world.chance(0.95));
    }

    /** A proper change upon what is in force. */
    Change properChange() {
        long base = world.checker.newestCommitted();
        return world.checker.make(ConfigurationChange.Kind.REPLACE, base, base + 1, true);
    }

    void submit(Change change, Runnable accepted) {
        new Submission(change, accepted).tryAt(anyMachine());
        if (world.chance(0.1)) {
            world.after(world.between(0, 3_000), () -> new Submission(change, () -> {}).tryAt(anyMachine()));
        }
    }

    void read(Runnable done) {
        new Read(done).tryAt(anyMachine());
    }

    private Machine anyMachine() {
        List<Machine> present =
                world.machines.stream().filter(machine -> !machine.removed).toList();
        return present.get(world.random.nextInt(present.size()));
    }

    /** A caller whose call has timed out moves to another machine. */
    private Machine anyMachineBut(Machine silent) {
        List<Machine> others = world.machines.stream()
                .filter(machine -> !machine.removed && machine != silent)
                .toList();
        return others.isEmpty() ? silent : others.get(world.random.nextInt(others.size()));
    }

    private Machine follow(Optional<SocketAddress> operatorApi) {
        return operatorApi
                .flatMap(address -> world.machines.stream()
                        .filter(machine -> machine.operatorApi.equals(address))
                        .findFirst())
                .orElseGet(this::anyMachine);
    }

    /** One change until it gets a clear answer. */
    private final class Submission {
        private final Change change;
        private final Runnable accepted;
        private int tries;

        Submission(Change change, Runnable accepted) {
            this.change = change;
            this.accepted = accepted;
        }

        void tryAt(Machine machine) {
            int current = ++tries;
            if (current > MOST_TRIES) {
                return;
            }
            world.after(world.between(0.5, 2), () -> machine.submit(change, outcome -> answer(current, outcome)));
            world.after(TIME_OUT_MS, () -> {
                if (tries == current) {
                    tryAt(anyMachineBut(machine));
                }
            });
        }

        private void answer(int current, ChangeOutcome outcome) {
            if (world.chance(answerLossShare)) {
                return;
            }
            // The answer counts as given when it leaves: nothing that follows may contradict it.
            world.checker.answered(change, outcome);
            world.after(world.between(0.5, 2), () -> {
                if (tries != current) {
                    return;
                }
                if (outcome instanceof ChangeOutcome.Accepted) {
                    tries = MOST_TRIES + 1;
                    believedCurrent = Math.max(believedCurrent, change.version());
                    accepted.run();
                } else if (outcome instanceof ChangeOutcome.VersionConflict conflict) {
                    tries = MOST_TRIES + 1;
                    believedCurrent = Math.max(believedCurrent, conflict.currentVersion());
                } else if (outcome instanceof ChangeOutcome.NotPrimary elsewhere) {
                    double pauseMs = elsewhere.primary().isPresent() ? 1 : world.between(30, 200);
                    world.after(pauseMs, () -> tryAt(follow(elsewhere.primary())));
                } else if (outcome instanceof ChangeOutcome.Unknown) {
                    world.after(world.between(10, 300), () -> tryAt(anyMachine()));
                }
            });
        }
    }

    /** One read until it is answered. */
    private final class Read {
        private final Runnable done;
        private int tries;

        Read(Runnable done) {
            this.done = done;
        }

        void tryAt(Machine machine) {
            int current = ++tries;
            if (current > MOST_TRIES) {
                return;
            }
            long acknowledgedBefore = world.checker.newestAcknowledged();
            world.after(
                    world.between(0.5, 2), () -> machine.read(outcome -> answer(current, outcome, acknowledgedBefore)));
            world.after(TIME_OUT_MS, () -> {
                if (tries == current) {
                    tryAt(anyMachineBut(machine));
                }
            });
        }

        private void answer(int current, ReadOutcome outcome, long acknowledgedBefore) {
            if (outcome instanceof ReadOutcome.Current read) {
                world.checker.read(read.document(), acknowledgedBefore);
            }
            if (tries != current) {
                return;
            }
            if (outcome instanceof ReadOutcome.Current) {
                tries = MOST_TRIES + 1;
                done.run();
            } else if (outcome instanceof ReadOutcome.NotPrimary elsewhere) {
                double pauseMs = elsewhere.primary().isPresent() ? 2 : world.between(30, 200);
                world.after(pauseMs, () -> tryAt(follow(elsewhere.primary())));
            } else {
                world.after(world.between(10, 300), () -> tryAt(anyMachine()));
            }
        }
    }
}
