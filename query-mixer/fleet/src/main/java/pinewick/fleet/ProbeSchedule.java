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
    private final double period;

    ProbeSchedule(double period) {
        this.period = period;
    }

    long turn(double now) {
        return (long) Math.floor(now / period);
    }

    /**
     * When in its turn a member probes: spread over the first part of the period by place, so that not all datagrams of
     * the tier go out at once.
     */
    double at(long turn, int place, int size) {
        return (turn + 0.5 * place / size) * period;
    }

    /** How many places on, among so many that take part, for a draw; 0 where there is nobody else. */
    int shift(long draw, int takingPart) {
        return takingPart < 2 ? 0 : new SplittableRandom(draw).nextInt(1, takingPart);
    }

    /**
     * The member to probe: the one so many on from this one among those that take part.
     *
     * @param draw the turn's number, or what is made of it for one more look in the same turn
     * @return its place, or -1 where nobody else takes part
     */
    int target(long draw, int self, Member[] members) {
        int takingPart = 0;
        int rank = 0;
        for (Member each : members) {
            boolean counts = each.place == self || each.standing.takesPart();
            rank += counts && each.place < self ? 1 : 0;
            takingPart += counts ? 1 : 0;
        }
        int shift = shift(draw, takingPart);
        if (shift == 0) {
            return -1;
        }
        int wanted = (rank + shift) % takingPart;
        for (Member each : members) {
            if ((each.place == self || each.standing.takesPart()) && wanted-- == 0) {
                return each.place;
            }
        }
        throw new IllegalStateException("rank " + wanted + " of " + takingPart);
    }
}
