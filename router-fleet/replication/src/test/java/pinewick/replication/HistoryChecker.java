package pinewick.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import pinewick.model.ConfigurationDocument;

/** Checks the invariants of the system against everything that operators and processes observe. */
final class HistoryChecker {
    /** An invariant is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    private enum Verdict {
        NONE,
        ACCEPTED,
        REJECTED
    }

    private final DoubleSupplier clock;
    private final List<Change> changes = new ArrayList<>();
    private final List<Verdict> verdicts = new ArrayList<>();
    private final Map<Long, ConfigurationDocument> committed = new HashMap<>();
    private final Map<Long, Long> successors = new HashMap<>();
    private final Map<Long, Machine> acknowledgersByEpoch = new HashMap<>();
    private final Map<Long, Machine> leaseHoldersByToken = new HashMap<>();
    private final TreeMap<Long, Double> acknowledgedAtMs = new TreeMap<>();
    private Machine lastLeaseHolder;
    private long highestToken = -1;
    private double lastLeaseMs;
    private long newestAcknowledged;
    int acknowledged;
    int rejected;
    int reads;

    /** @param clock simulated time */
    HistoryChecker(DoubleSupplier clock) {
        this.clock = clock;
        committed.put(0L, ConfigurationDocument.EMPTY);
    }

    Change newChange(ConfigurationChange.Kind kind, long base, long version, boolean valid) {
        Change change = Change.create(changes.size(), kind, base, version, valid);
        changes.add(change);
        verdicts.add(Verdict.NONE);
        return change;
    }

    long newestAcknowledged() {
        return newestAcknowledged;
    }

    long newestCommitted() {
        return committed.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new Violation(message);
        }
    }

    /** A process reports that a document is committed. */
    void onCommitted(Machine machine, ConfigurationDocument document) {
        ConfigurationDocument knownDocument = committed.get(document.version());
        if (knownDocument != null) {
            require(knownDocument.equals(document), machine + ": different contents of version " + document.version());
            return;
        }
        Change change = changes.get(document.fields().get(Change.MARKER_FIELD).getAsInt());
        require(change.version() == document.version(), "version " + document.version() + " is not that of the change");
        require(change.valid(), machine + ": an invalid change is committed, " + change.marker());
        require(
                verdicts.get(change.marker()) != Verdict.REJECTED,
                machine + ": a rejected change is committed, " + change.marker());
        ConfigurationDocument base = committed.get(change.base());
        require(base != null, machine + ": committed on a base version that was never committed, " + change.base());
        require(change.version() > change.base(), machine + ": the version did not increase");
        require(
                change.applyTo(base).equals(document),
                machine + ": the document differs from the change as sent, " + change.marker());
        Long previous = successors.put(change.base(), change.version());
        require(
                previous == null,
                machine + ": two changes committed on base version " + change.base() + ", also " + change.version());
        committed.put(document.version(), document);
    }

    private boolean isCommitted(Change change) {
        ConfigurationDocument document = committed.get(change.version());
        return document != null
                && document.version() > 0
                && document.fields().get(Change.MARKER_FIELD).getAsInt() == change.marker();
    }

    /** An operator received the outcome of a change. */
    void onChangeOutcome(Change change, ChangeOutcome outcome) {
        if (outcome instanceof ChangeOutcome.Accepted accepted) {
            require(accepted.version() == change.version(), "acknowledged with another version: " + change.marker());
            require(isCommitted(change), "acknowledged but not committed: " + change.marker());
            verdicts.set(change.marker(), Verdict.ACCEPTED);
            acknowledgedAtMs.putIfAbsent(change.version(), clock.getAsDouble());
            newestAcknowledged = Math.max(newestAcknowledged, change.version());
            acknowledged++;
        } else if (outcome instanceof ChangeOutcome.VersionConflict || outcome instanceof ChangeOutcome.Invalid) {
            require(!isCommitted(change), "committed but rejected: " + change.marker() + " " + outcome);
            require(
                    verdicts.get(change.marker()) != Verdict.ACCEPTED,
                    "acknowledged, then rejected: " + change.marker());
            boolean applicable = change.valid() && change.base() == newestCommitted();
            require(
                    !applicable,
                    "a valid change on the newest version was rejected: " + change.marker() + " " + outcome);
            verdicts.set(change.marker(), Verdict.REJECTED);
            rejected++;
        }
    }

    /** A process acknowledged a change in an epoch. Each epoch has one primary at most. */
    void onAcknowledged(Machine machine, long epoch) {
        Machine previous = acknowledgersByEpoch.putIfAbsent(epoch, machine);
        require(previous == null || previous == machine, "two primaries acknowledged changes in epoch " + epoch);
    }

    /**
     * An operator read the configuration.
     *
     * @param acknowledgedBefore newest acknowledged version at the time of the request
     */
    void onRead(ConfigurationDocument document, long acknowledgedBefore) {
        require(
                document.version() >= acknowledgedBefore,
                "read " + document.version() + " after " + acknowledgedBefore + " was acknowledged");
        ConfigurationDocument knownDocument = committed.get(document.version());
        require(
                document.equals(knownDocument),
                "read a document that was never committed, version " + document.version());
        reads++;
    }

    /** A process with this committed version claims that no higher one was acknowledged before a time. */
    void onConfirmed(Machine machine, long version, double confirmedAtMs) {
        acknowledgedAtMs
                .tailMap(version, false)
                .forEach((laterVersion, atMs) -> require(
                        atMs >= confirmedAtMs,
                        machine + " confirmed version " + version + " as of " + confirmedAtMs + ", but " + laterVersion
                                + " was acknowledged at " + atMs));
    }

    /** Checks the processes that claim, at the same time, that no other process is the primary. */
    static void requireSoleAuthority(List<Machine> machines) {
        require(machines.size() <= 1, "several sole authorities at the same time: " + machines);
    }

    /** A process reports whether it holds the lease. */
    void onLeaseStatus(Machine machine, Optional<Long> token, double nowMs, double leaseMs) {
        if (token.isEmpty()) {
            return;
        }
        Machine previous = leaseHoldersByToken.putIfAbsent(token.get(), machine);
        require(previous == null || previous == machine, "two lease holders share token " + token.get());
        require(token.get() >= highestToken, "token " + token.get() + " follows " + highestToken);
        if (lastLeaseHolder != machine && lastLeaseHolder != null) {
            require(nowMs - lastLeaseMs >= leaseMs, "the lease holder changed after " + (nowMs - lastLeaseMs) + " ms");
        }
        highestToken = token.get();
        lastLeaseHolder = machine;
        lastLeaseMs = nowMs;
    }
}
