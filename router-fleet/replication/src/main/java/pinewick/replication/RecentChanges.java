package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Bounded log of the newest changes of one epoch, for followers that lack only these and so need no snapshot. */
final class RecentChanges {
    private static final int MAX_CHANGES = 512;
    private static final int MAX_BYTES = 512 * 1024;

    /** A change, with the version of the state that it leads to. */
    record LoggedChange(StateVersion stateVersion, byte[] delta, ChangeKey key) {}

    private final Deque<LoggedChange> changes = new ArrayDeque<>();
    private StateVersion newest;
    private int bytes;

    /** @param start version of the state from which the epoch starts */
    RecentChanges(StateVersion start) {
        newest = start;
    }

    /**
     * Appends the change that leads to the next state. Evicts the oldest changes beyond the limits, but never the
     * newest one.
     */
    void add(LoggedChange change) {
        changes.add(change);
        newest = change.stateVersion;
        bytes += change.delta.length;
        while (changes.size() > MAX_CHANGES || (bytes > MAX_BYTES && changes.size() > 1)) {
            bytes -= changes.remove().delta.length;
        }
    }

    /** Whether every change after this version is available; false for a version of another epoch. */
    boolean coversChangesAfter(StateVersion stateVersion) {
        return stateVersion.epoch() == newest.epoch() && stateVersion.sequence() >= newest.sequence() - changes.size();
    }

    /** The changes after a version for which {@link #coversChangesAfter} is true, oldest first. */
    List<LoggedChange> changesAfter(StateVersion stateVersion) {
        long skipped = changes.size() - (newest.sequence() - stateVersion.sequence());
        return changes.stream().skip(skipped).toList();
    }
}
