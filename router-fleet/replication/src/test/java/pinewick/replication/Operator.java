package pinewick.replication;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** Sends changes and reads to the machines over links that may lose responses; retries until a response is definite. */
final class Operator {
    private static final int MAX_ATTEMPTS = 25;
    private static final double TIMEOUT_MS = 1_000;

    private final SimulatedCluster cluster;
    private long lastKnownVersion;
    double responseLossProbability = 0.02;
    boolean stopped;

    Operator(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Sends changes and reads repeatedly. */
    void sendChanges(double untilMs) {
        if (cluster.nowMs() >= untilMs || stopped) {
            return;
        }
        submit(nextChange(), () -> {});
        if (cluster.randomBoolean(0.2)) {
            read(() -> {});
        }
        double pauseMs = cluster.randomBoolean(0.3) ? cluster.randomBetween(1, 30) : cluster.randomBetween(50, 900);
        cluster.scheduleAfter(pauseMs, () -> sendChanges(untilMs));
    }

    private Change nextChange() {
        long current =
                Math.max(lastKnownVersion, cluster.randomBoolean(0.8) ? cluster.checker.newestAcknowledged() : 0);
        long base = cluster.randomBoolean(0.9) ? current : Math.max(0, current - cluster.random.nextInt(4));
        long version = base + (cluster.randomBoolean(0.95) ? 1 + cluster.random.nextInt(3) : 0);
        ConfigurationChange.Kind kind =
                cluster.randomBoolean(0.5) ? ConfigurationChange.Kind.REPLACE : ConfigurationChange.Kind.UPDATE;
        return cluster.checker.newChange(kind, base, version, cluster.randomBoolean(0.95));
    }

    /** A valid change based on the newest committed version. */
    Change validChange() {
        long base = cluster.checker.newestCommitted();
        return cluster.checker.newChange(ConfigurationChange.Kind.REPLACE, base, base + 1, true);
    }

    void submit(Change change, Runnable onAccepted) {
        new Submission(change, onAccepted).sendTo(randomMachine());
        if (cluster.randomBoolean(0.1)) {
            cluster.scheduleAfter(
                    cluster.randomBetween(0, 3_000), () -> new Submission(change, () -> {}).sendTo(randomMachine()));
        }
    }

    void read(Runnable onComplete) {
        new Read(onComplete).sendTo(randomMachine());
    }

    private Machine randomMachine() {
        List<Machine> present =
                cluster.machines.stream().filter(machine -> !machine.removed).toList();
        return present.get(cluster.random.nextInt(present.size()));
    }

    /** A machine for the retry of a call that has timed out. */
    private Machine randomMachineExcept(Machine excluded) {
        List<Machine> others = cluster.machines.stream()
                .filter(machine -> !machine.removed && machine != excluded)
                .toList();
        return others.isEmpty() ? excluded : others.get(cluster.random.nextInt(others.size()));
    }

    private Machine resolve(Optional<SocketAddress> operatorApi) {
        return operatorApi
                .flatMap(address -> cluster.machines.stream()
                        .filter(machine -> machine.operatorApi.equals(address))
                        .findFirst())
                .orElseGet(this::randomMachine);
    }

    /** A change that is sent until it gets a definite response. */
    private final class Submission {
        private final Change change;
        private final Runnable onAccepted;
        private int attempts;

        Submission(Change change, Runnable onAccepted) {
            this.change = change;
            this.onAccepted = onAccepted;
        }

        void sendTo(Machine machine) {
            int current = ++attempts;
            if (current > MAX_ATTEMPTS) {
                return;
            }
            cluster.scheduleAfter(
                    cluster.randomBetween(0.5, 2),
                    () -> machine.submit(change, outcome -> onOutcome(current, outcome)));
            cluster.scheduleAfter(TIMEOUT_MS, () -> {
                if (attempts == current) {
                    sendTo(randomMachineExcept(machine));
                }
            });
        }

        private void onOutcome(int current, ChangeOutcome outcome) {
            if (cluster.randomBoolean(responseLossProbability)) {
                return;
            }
            // The response counts from when it is sent: nothing that follows may contradict it.
            cluster.checker.onChangeOutcome(change, outcome);
            cluster.scheduleAfter(cluster.randomBetween(0.5, 2), () -> {
                if (attempts != current) {
                    return;
                }
                if (outcome instanceof ChangeOutcome.Accepted) {
                    attempts = MAX_ATTEMPTS + 1;
                    lastKnownVersion = Math.max(lastKnownVersion, change.version());
                    onAccepted.run();
                } else if (outcome instanceof ChangeOutcome.VersionConflict conflict) {
                    attempts = MAX_ATTEMPTS + 1;
                    lastKnownVersion = Math.max(lastKnownVersion, conflict.currentVersion());
                } else if (outcome instanceof ChangeOutcome.NotPrimary notPrimary) {
                    double pauseMs = notPrimary.primary().isPresent() ? 1 : cluster.randomBetween(30, 200);
                    cluster.scheduleAfter(pauseMs, () -> sendTo(resolve(notPrimary.primary())));
                } else if (outcome instanceof ChangeOutcome.Unknown) {
                    cluster.scheduleAfter(cluster.randomBetween(10, 300), () -> sendTo(randomMachine()));
                }
            });
        }
    }

    /** A read that is sent until it gets a definite response. */
    private final class Read {
        private final Runnable onComplete;
        private int attempts;

        Read(Runnable onComplete) {
            this.onComplete = onComplete;
        }

        void sendTo(Machine machine) {
            int current = ++attempts;
            if (current > MAX_ATTEMPTS) {
                return;
            }
            long acknowledgedBefore = cluster.checker.newestAcknowledged();
            cluster.scheduleAfter(
                    cluster.randomBetween(0.5, 2),
                    () -> machine.read(outcome -> onOutcome(current, outcome, acknowledgedBefore)));
            cluster.scheduleAfter(TIMEOUT_MS, () -> {
                if (attempts == current) {
                    sendTo(randomMachineExcept(machine));
                }
            });
        }

        private void onOutcome(int current, ReadOutcome outcome, long acknowledgedBefore) {
            if (outcome instanceof ReadOutcome.Current read) {
                cluster.checker.onRead(read.document(), acknowledgedBefore);
            }
            if (attempts != current) {
                return;
            }
            if (outcome instanceof ReadOutcome.Current) {
                attempts = MAX_ATTEMPTS + 1;
                onComplete.run();
            } else if (outcome instanceof ReadOutcome.NotPrimary notPrimary) {
                double pauseMs = notPrimary.primary().isPresent() ? 2 : cluster.randomBetween(30, 200);
                cluster.scheduleAfter(pauseMs, () -> sendTo(resolve(notPrimary.primary())));
            } else {
                cluster.scheduleAfter(cluster.randomBetween(10, 300), () -> sendTo(randomMachine()));
            }
        }
    }
}
