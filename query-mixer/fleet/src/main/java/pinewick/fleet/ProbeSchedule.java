package pinewick.fleet;

import java.util.SplittableRandom;

/**
 * Chooses the member to probe in each round. SWIM picks targets at random and, to bound the detection time, in a
 * shuffled order; a member is then not probed by anyone in a third of the rounds. Here all members derive the same
 * shift for a round from their shared clock, and each probes the active member that many positions after itself.
 * So each active member is probed by exactly one other, and a crash is noticed within one round if the prober is
 * alive. Where views or clocks differ, the choice is as good as random, since each round has a new shift.
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
     * Time at which a member probes within a round. Members are spread over the first half of the round by index,
     * so that they do not all send at once.
     */
    double probeTime(long round, int index, int size) {
        return (round + 0.5 * index / size) * probeIntervalSeconds;
    }

    /**
     * Number of positions to shift among the active members, from a random seed; 0 if there is no other active
     * member.
     */
    int shift(long seed, int activeCount) {
        return activeCount < 2 ? 0 : new SplittableRandom(seed).nextInt(1, activeCount);
    }

    /**
     * Returns the member to probe: the one that many positions after this one among the active members.
     *
     * @param seed number of the round, or a value derived from it for further probes in the same round
     * @return its index, or -1 if no other member is active
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
        throw new IllegalStateException("no active member for remaining rank " + remaining + " of " + activeCount);
    }
}
