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
    private static final int LEVELS = 64;

    /** Neighbours in the ring; rings' own ends stand behind the places. */
    private int[] next;

    private int[] before;
    /** How often each place's news was sent; -1 where there is none. */
    private int[] sends;

    private int size;
    private int waiting;

    GossipQueue(int size) {
        resize(size);
    }

    /** For another number of members; forgets all news. */
    void resize(int members) {
        size = members;
        next = new int[size + LEVELS];
        before = new int[size + LEVELS];
        for (int end = size; end < size + LEVELS; end++) {
            next[end] = before[end] = end;
        }
        sends = new int[size];
        Arrays.fill(sends, -1);
        waiting = 0;
    }

    /** News of this member, to be sent from now on as if for the first time. */
    void add(int place) {
        drop(place);
        put(place, 0);
    }

    /** Another told the same: that is worth so many sends. */
    void heardAgain(int place, int worth, int most) {
        if (sends[place] >= 0) {
            sent(place, worth, most);
        }
    }

    /**
     * Hands out places, those sent least first, until the taker has no room or each was offered once.
     *
     * @param most how often each is sent before it is dropped
     */
    void offer(int most, IntPredicate taker) {
        int[] taken = new int[waiting];
        int count = 0;
        for (int end = size; end < size + LEVELS && count < taken.length; end++) {
            for (int place = next[end]; place != end; place = next[place]) {
                if (!taker.test(place)) {
                    end = size + LEVELS;
                    break;
                }
                taken[count++] = place;
            }
        }
        for (int each = 0; each < count; each++) {
            sent(taken[each], 1, most);
        }
    }

    private void sent(int place, int worth, int most) {
        int level = sends[place] + worth;
        drop(place);
        if (level < Math.min(most, LEVELS)) {
            put(place, level);
        }
    }

    private void put(int place, int level) {
        int end = size + level;
        sends[place] = level;
        before[place] = before[end];
        next[place] = end;
        next[before[end]] = place;
        before[end] = place;
        waiting++;
    }

    private void drop(int place) {
        if (sends[place] >= 0) {
            sends[place] = -1;
            next[before[place]] = next[place];
            before[next[place]] = before[place];
            waiting--;
        }
    }

    boolean any() {
        return waiting > 0;
    }

    int waiting() {
        return waiting;
    }
}
