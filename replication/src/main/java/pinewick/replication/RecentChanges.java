package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The newest changes of one epoch, for stores that lack only these: they need not be sent the whole state. */
final class RecentChanges {
    private static final int MOST = 512;
    private static final int MOST_BYTES = 512 * 1024;

    /** A change and the state that it leads to. */
    record Recent(StateTag tag, byte[] delta, ChangeKey key) {}

    private final Deque<Recent> changes = new ArrayDeque<>();
    private StateTag newest;
    private int bytes;

    /** @param start the state at the start of the epoch */
    RecentChanges(StateTag start) {
        newest = start;
    }

    /** Keeps the change that leads to the next state; older ones are given up. */
    void add(Recent change) {
        changes.add(change);
        newest = change.tag;
        bytes += change.delta.length;
        while (changes.size() > MOST || bytes > MOST_BYTES && changes.size() > 1) {
            bytes -= changes.remove().delta.length;
        }
    }

    /** Whether every change after a state is kept. */
    boolean reachBackTo(StateTag tag) {
        return tag.epoch() == newest.epoch() && tag.sequence() >= newest.sequence() - changes.size();
    }

    /** The changes after a state that {@link #reachBackTo} holds for, oldest first. */
    List<Recent> after(StateTag tag) {
        long known = changes.size() - (newest.sequence() - tag.sequence());
        return changes.stream().skip(known).toList();
    }
}
