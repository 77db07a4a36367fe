package pinewick.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import pinewick.model.ConfigurationDocument;

/** Holds everything the operators and processes saw against what must hold. */
final class HistoryChecker {
    /** What must hold does not. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String what) {
            super(what);
        }
    }

    private enum Verdict {
        NONE,
        ACCEPTED,
        REFUSED
    }

    private final DoubleSupplier clock;
    private final List<Change> changes = new ArrayList<>();
    private final List<Verdict> answers = new ArrayList<>();
    private final Map<Long, ConfigurationDocument> committed = new HashMap<>();
    private final Map<Long, Long> successors = new HashMap<>();
    private final Map<Long, Machine> acknowledgers = new HashMap<>();
    private final Map<Long, Machine> holders = new HashMap<>();
    private final TreeMap<Long, Double> acknowledgedAtMs = new TreeMap<>();
    private Machine holder;
    private long highestToken = -1;
    private double heldMs;
    private long newestAcknowledged;
    int acknowledged;
    int refused;
    int reads;

    /** @param clock simulated time */
    HistoryChecker(DoubleSupplier clock) {
        this.clock = clock;
        committed.put(0L, ConfigurationDocument.EMPTY);
    }

    Change make(ConfigurationChange.Kind kind, long base, long version, boolean valid) {
        Change change = Change.make(changes.size(), kind, base, version, valid);
        changes.add(change);
        answers.add(Verdict.NONE);
        return change;
    }

    long newestAcknowledged() {
        return newestAcknowledged;
    }

    long newestCommitted() {
        return committed.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new Violation(what);
        }
    }

    /** Some process says that a document is in force. */
    void committed(Machine machine, ConfigurationDocument document) {
        ConfigurationDocument known = committed.get(document.version());
        if (known != null) {
            require(known.equals(document), machine + ": two contents of version " + document.version());
            return;
        }
        Change change = changes.get(document.fields().get(Change.MARK).getAsInt());
        require(change.version() == document.version(), "version " + document.version() + " is not the change's");
        require(change.valid(), machine + ": an invalid change is in force, " + change.mark());
        require(
                answers.get(change.mark()) != Verdict.REFUSED,
                machine + ": a refused change is in force, " + change.mark());
        ConfigurationDocument base = committed.get(change.base());
        require(base != null, machine + ": in force upon a version that never was, " + change.base());
        require(change.version() > change.base(), machine + ": the version did not rise");
        require(change.applyTo(base).equals(document), machine + ": not what was sent as " + change.mark());
        Long before = successors.put(change.base(), change.version());
        require(before == null, machine + ": two winners upon " + change.base() + ", also " + change.version());
        committed.put(document.version(), document);
    }

    private boolean inForce(Change change) {
        ConfigurationDocument document = committed.get(change.version());
        return document != null
                && document.version() > 0
                && document.fields().get(Change.MARK).getAsInt() == change.mark();
    }

    /** An operator got an answer to a change. */
    void answered(Change change, ChangeOutcome outcome) {
        if (outcome instanceof ChangeOutcome.Accepted accepted) {
            require(accepted.version() == change.version(), "acknowledged under another version: " + change.mark());
            require(inForce(change), "acknowledged and not in force: " + change.mark());
            answers.set(change.mark(), Verdict.ACCEPTED);
            acknowledgedAtMs.putIfAbsent(change.version(), clock.getAsDouble());
            newestAcknowledged = Math.max(newestAcknowledged, change.version());
            acknowledged++;
        } else if (outcome instanceof ChangeOutcome.VersionConflict || outcome instanceof ChangeOutcome.Invalid) {
            require(!inForce(change), "in force and refused: " + change.mark() + " " + outcome);
            require(answers.get(change.mark()) != Verdict.ACCEPTED, "acknowledged, then refused: " + change.mark());
            boolean proper = change.valid() && change.base() == newestCommitted();
            require(!proper, "a valid change upon the newest version refused: " + change.mark() + " " + outcome);
            answers.set(change.mark(), Verdict.REFUSED);
            refused++;
        }
    }

    /** A process acknowledged a change in an epoch. */
    void acknowledgedBy(Machine machine, long epoch) {
        Machine before = acknowledgers.putIfAbsent(epoch, machine);
        require(before == null || before == machine, "two primaries acknowledge in epoch " + epoch);
    }

    /** An operator read the configuration, which it asked for when this much had been acknowledged. */
    void read(ConfigurationDocument document, long acknowledgedBefore) {
        require(
                document.version() >= acknowledgedBefore,
                "read " + document.version() + " after " + acknowledgedBefore + " was acknowledged");
        ConfigurationDocument known = committed.get(document.version());
        require(document.equals(known), "read what was never in force, version " + document.version());
        reads++;
    }

    /** A process that has put a version in force says that no higher one was acknowledged before a time. */
    void confirmed(Machine machine, long version, double confirmedAtMs) {
        acknowledgedAtMs
                .tailMap(version, false)
                .forEach((later, atMs) -> require(
                        atMs >= confirmedAtMs,
                        machine + " confirms " + version + " as of " + confirmedAtMs + ", but " + later
                                + " was acknowledged at " + atMs));
    }

    /** Processes that say at one moment that nobody else is the primary. */
    static void soleAuthorities(List<Machine> machines) {
        require(machines.size() <= 1, "at once: " + machines);
    }

    /** A process says whether it holds the lease. */
    void lease(Machine machine, Optional<Long> token, double nowMs, double leaseMs) {
        if (token.isEmpty()) {
            return;
        }
        Machine before = holders.putIfAbsent(token.get(), machine);
        require(before == null || before == machine, "two holders share token " + token.get());
        require(token.get() >= highestToken, "token " + token.get() + " follows " + highestToken);
        if (holder != machine && holder != null) {
            require(nowMs - heldMs >= leaseMs, "holders take turns after " + (nowMs - heldMs) + " ms");
        }
        highestToken = token.get();
        holder = machine;
        heldMs = nowMs;
    }
}
