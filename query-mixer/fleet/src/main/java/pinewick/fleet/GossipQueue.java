package pinewick.fleet;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * Which members there is news of, and how often each piece was sent. What was sent least goes first (SWIM, section
 * 4.1), so that under much news each piece gets round; what comes back from others counts as sent (rumour mongering
 * with feedback, Demers et al., PODC 1987), so that news everybody has dies at once. Only the place is kept: what is
 * said of it is read when it is written, so an older word never goes out after a newer one.
 *
 * <p>A ring for each number of sends, linked through arrays by place: adding, moving and dropping cost the same for ten
 * members and for a thousand.
 */
final class GossipQueue {
    private static final int MAX_SEND_COUNT = 64;

    /** Neighbours in the ring; rings' own ends stand behind the places. */
    private int[] next;

    private int[] previous;
    /** How often each place's news was sent; -1 where there is none. */
    private int[] sendCounts;

    private int size;
    private int pending;

    GossipQueue(int size) {
        resize(size);
    }

    /** For another number of members; forgets all news. */
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

    /** News of this member, to be sent from now on as if for the first time. */
    void add(int index) {
        remove(index);
        link(index, 0);
    }

    /** Another told the same: that is worth so many sends. */
    void recordDuplicate(int index, int sends, int maxSends) {
        if (sendCounts[index] >= 0) {
            recordSends(index, sends, maxSends);
        }
    }

    /**
     * Hands out places, those sent least first, until the taker has no room or each was offered once.
     *
     * @param most how often each is sent before it is dropped
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
