package pinewick.fleet;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * Queue of the members with pending updates and the number of times that each update was sent. The least-sent
 * update goes out first (SWIM, section 4.1), so that every update spreads even under load. An update that comes
 * back from another member counts as sent (rumor mongering with feedback, Demers et al., PODC 1987), so that
 * updates known to everybody stop quickly. Only the member index is queued; the state is read when a datagram is
 * written, so that an older update never follows a newer one.
 *
 * <p>Members with the same send count form a ring, linked through arrays by index, so that adding, moving and
 * removing take constant time for any number of members.
 */
final class GossipQueue {
    private static final int MAX_SEND_COUNT = 64;

    /** Next member in the same ring; the rings' sentinels follow the member indexes. */
    private int[] next;

    private int[] previous;
    /** Number of sends by member index; -1 where no update is pending. */
    private int[] sendCounts;

    private int size;
    private int pending;

    GossipQueue(int size) {
        resize(size);
    }

    /** Changes the number of members and discards all pending updates. */
    void resize(int members) {
        size = members;
        next = new int[size + MAX_SEND_COUNT];
        previous = new int[size + MAX_SEND_COUNT];
        for (int sentinel = size; sentinel < size + MAX_SEND_COUNT; sentinel++) {
            next[sentinel] = previous[sentinel] = sentinel;
        }
        sendCounts = new int[size];
        Arrays.fill(sendCounts, -1);
        pending = 0;
    }

    /** Enqueues an update about a member with a send count of 0, replacing a pending one. */
    void add(int index) {
        remove(index);
        link(index, 0);
    }

    /** Counts an update that another member also sent as a number of sends; ignored where none is pending. */
    void recordDuplicate(int index, int sends, int maxSends) {
        if (sendCounts[index] >= 0) {
            recordSends(index, sends, maxSends);
        }
    }

    /**
     * Passes pending members to the consumer, the least-sent first, until it returns false or each was passed
     * once.
     *
     * @param maxSends number of sends after which an update is dropped
     * @param consumer returns whether it took the member
     */
    void drain(int maxSends, IntPredicate consumer) {
        int[] taken = new int[pending];
        int count = 0;
        for (int sentinel = size; sentinel < size + MAX_SEND_COUNT && count < taken.length; sentinel++) {
            for (int index = next[sentinel]; index != sentinel; index = next[index]) {
                if (!consumer.test(index)) {
                    sentinel = size + MAX_SEND_COUNT;
                    break;
                }
                taken[count++] = index;
            }
        }
        for (int each = 0; each < count; each++) {
            recordSends(taken[each], 1, maxSends);
        }
    }

    private void recordSends(int index, int sends, int maxSends) {
        int sendCount = sendCounts[index] + sends;
        remove(index);
        if (sendCount < Math.min(maxSends, MAX_SEND_COUNT)) {
            link(index, sendCount);
        }
    }

    private void link(int index, int sendCount) {
        int sentinel = size + sendCount;
        sendCounts[index] = sendCount;
        previous[index] = previous[sentinel];
        next[index] = sentinel;
        next[previous[sentinel]] = index;
        previous[sentinel] = index;
        pending++;
    }

    private void remove(int index) {
        if (sendCounts[index] >= 0) {
            sendCounts[index] = -1;
            next[previous[index]] = next[index];
            previous[next[index]] = previous[index];
            pending--;
        }
    }

    boolean hasPending() {
        return pending > 0;
    }

    int pending() {
        return pending;
    }
}
