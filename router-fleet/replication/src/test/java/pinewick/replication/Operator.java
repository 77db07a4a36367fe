package pinewick.replication;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** Sends changes and reads to the machines, over links that lose answers, and sends again what got no clear answer. */
final class Operator {
    private static final int MOST_TRIES = 25;
    private static final double TIME_OUT_MS = 1_000;

    private final SimulatedCluster cluster;
    private long believedCurrent;
    double answerLossShare = 0.02;
    boolean stopped;

    Operator(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Sends changes over and over. */
    void work(double untilMs) {
        if (cluster.nowMs() >= untilMs || stopped) {
            return;
        }
        submit(nextChange(), () -> {});
        if (cluster.chance(0.2)) {
            read(() -> {});
        }
        double pauseMs = cluster.chance(0.3) ? cluster.between(1, 30) : cluster.between(50, 900);
        cluster.after(pauseMs, () -> work(untilMs));
    }

    private Change nextChange() {
        long current = Math.max(believedCurrent, cluster.chance(0.8) ? cluster.checker.newestAcknowledged() : 0);
        long base = cluster.chance(0.9) ? current : Math.max(0, current - cluster.random.nextInt(4));
        long version = base + (cluster.chance(0.95) ? 1 + cluster.random.nextInt(3) : 0);
        ConfigurationChange.Kind kind =
                cluster.chance(0.5) ? ConfigurationChange.Kind.REPLACE : ConfigurationChange.Kind.UPDATE;
        return cluster.checker.make(kind, base, version, cluster.chance(0.95));
    }

    /** A proper change upon what is in force. */
    Change properChange() {
        long base = cluster.checker.newestCommitted();
        return cluster.checker.make(ConfigurationChange.Kind.REPLACE, base, base + 1, true);
    }

    void submit(Change change, Runnable accepted) {
        new Submission(change, accepted).tryAt(anyMachine());
        if (cluster.chance(0.1)) {
            cluster.after(cluster.between(0, 3_000), () -> new Submission(change, () -> {}).tryAt(anyMachine()));
        }
    }

    void read(Runnable done) {
        new Read(done).tryAt(anyMachine());
    }

    private Machine anyMachine() {
        List<Machine> present =
                cluster.machines.stream().filter(machine -> !machine.removed).toList();
        return present.get(cluster.random.nextInt(present.size()));
    }

    /** A caller whose call has timed out moves to another machine. */
    private Machine anyMachineBut(Machine silent) {
        List<Machine> others = cluster.machines.stream()
                .filter(machine -> !machine.removed && machine != silent)
                .toList();
        return others.isEmpty() ? silent : others.get(cluster.random.nextInt(others.size()));
    }

    private Machine follow(Optional<SocketAddress> operatorApi) {
        return operatorApi
                .flatMap(address -> cluster.machines.stream()
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
            cluster.after(cluster.between(0.5, 2), () -> machine.submit(change, outcome -> answer(current, outcome)));
            cluster.after(TIME_OUT_MS, () -> {
                if (tries == current) {
                    tryAt(anyMachineBut(machine));
                }
            });
        }

        private void answer(int current, ChangeOutcome outcome) {
            if (cluster.chance(answerLossShare)) {
                return;
            }
            // The answer counts as given when it leaves: nothing that follows may contradict it.
            cluster.checker.answered(change, outcome);
            cluster.after(cluster.between(0.5, 2), () -> {
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
                    double pauseMs = elsewhere.primary().isPresent() ? 1 : cluster.between(30, 200);
                    cluster.after(pauseMs, () -> tryAt(follow(elsewhere.primary())));
                } else if (outcome instanceof ChangeOutcome.Unknown) {
                    cluster.after(cluster.between(10, 300), () -> tryAt(anyMachine()));
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
            long acknowledgedBefore = cluster.checker.newestAcknowledged();
            cluster.after(
                    cluster.between(0.5, 2),
                    () -> machine.read(outcome -> answer(current, outcome, acknowledgedBefore)));
            cluster.after(TIME_OUT_MS, () -> {
                if (tries == current) {
                    tryAt(anyMachineBut(machine));
                }
            });
        }

        private void answer(int current, ReadOutcome outcome, long acknowledgedBefore) {
            if (outcome instanceof ReadOutcome.Current read) {
                cluster.checker.read(read.document(), acknowledgedBefore);
            }
            if (tries != current) {
                return;
            }
            if (outcome instanceof ReadOutcome.Current) {
                tries = MOST_TRIES + 1;
                done.run();
            } else if (outcome instanceof ReadOutcome.NotPrimary elsewhere) {
                double pauseMs = elsewhere.primary().isPresent() ? 2 : cluster.between(30, 200);
                cluster.after(pauseMs, () -> tryAt(follow(elsewhere.primary())));
            } else {
                cluster.after(cluster.between(10, 300), () -> tryAt(anyMachine()));
            }
        }
    }
}
