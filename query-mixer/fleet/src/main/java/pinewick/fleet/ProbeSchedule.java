package pinewick.fleet;

import java.util.SplittableRandom;

/**
 * Whom a member probes in a period. SWIM draws at random and, to bound the time, goes round in a shuffled order; then a
 * member is probed by none in a third of the periods. Here all members draw the same shift for a period, from the clock
 * they share, and each probes the one so many places on among those that take part: so each of them is probed by
 * exactly one, and a crash is noticed within a period where the prober lives. Where views or clocks differ, the choice
 * is as good as random, since the shift is drawn anew each period.
 */
final class ProbeSchedule {
    private final double probeIntervalSeconds;

    ProbeSchedule(double probeIntervalSeconds) {
        this.probeIntervalSeconds = probeIntervalSeconds;
    }

    long round(double now) {
        return (long) Math.floor(now / probeIntervalSeconds);
    }

    /**
     * When in its turn a member probes: spread over the first part of the period by place, so that not all datagrams of
     * the tier go out at once.
     */
    double probeTime(long round, int index, int size) {
        return (round + 0.5 * index / size) * probeIntervalSeconds;
    }

    /** How many places on, among so many that take part, for a draw; 0 where there is nobody else. */
    int shift(long seed, int activeCount) {
        return activeCount < 2 ? 0 : new SplittableRandom(seed).nextInt(1, activeCount);
    }

    /**
     * The member to probe: the one so many on from this one among those that take part.
     *
     * @param draw the turn's number, or what is made of it for one more look in the same turn
     * @return its place, or -1 where nobody else takes part
     */
    int target(long seed, int self, Member[] members) {
        int activeCount = 0;
        int rank = 0;
        for (Member each : members) {
            boolean counted = each.index == self || each.state.isActive();
            rank += counted && each.index < self ? 1 : 0;
            activeCount += counted ? 1 : 0;
        }
        int shift = shift(seed, activeCount);
        if (shift == 0) {
            return -1;
        }
        int remaining = (rank + shift) % activeCount;
        for (Member each : members) {
            if ((each.index == self || each.state.isActive()) && remaining-- == 0) {
                return each.index;
            }
        }
        throw new IllegalStateException("rank " + remaining + " of " + activeCount);
    }
}
