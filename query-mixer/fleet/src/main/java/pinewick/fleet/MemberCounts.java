package pinewick.fleet;

/**
 * The two counts of mixers that decisions take from the view, each erring to the side that does less harm.
 */
final class MemberCounts {
    private final MembershipSettings terms;

    MemberCounts(MembershipSettings terms) {
        this.terms = terms;
    }

    /**
     * For spreading work: those that take part, and those not heard yet, as the list is the best that is known of them.
     * Too high or too low by a little, it only shifts how much others are thought to send. Danger: a mixer that hears
     * nobody would decide as if it were alone, and with all mixers cut off from each other all would do so at the worst
     * time; so not fewer than half of those listed count. Harm: after a true loss of more than half, others are thought
     * to send up to twice and more of what they do.
     */
    int spread(Member[] members, int live) {
        int unheard = 0;
        for (Member each : members) {
            unheard += each.standing == MemberState.UNHEARD ? 1 : 0;
        }
        return Math.max(live + unheard, (members.length + 1) / 2);
    }

    /**
     * For shares of a budget that all mixers keep together (rule 4): an upper bound. Danger: too low a count makes
     * every share too large, and together they push a cold searcher over; and nobody can tell a dead mixer from one
     * that is only cut off from the other mixers and still sends. So whoever was not heard yet counts, suspects count,
     * a death counts only after it has stood for a while, and the count never falls under the least share of those
     * listed: with that at the part of the budget that is used at all, even a split in which each side takes the other
     * for dead stays inside. Harm: after a true loss of many mixers the rest use less of a cold searcher than they
     * might.
     */
    int bound(double now, Member[] members, int self) {
        int bound = 0;
        for (Member each : members) {
            boolean ended = each.standing == MemberState.DEAD || each.standing == MemberState.LEFT;
            bound += each.place == self || !ended || now - each.endedAt < terms.lowerAfter() ? 1 : 0;
        }
        return Math.max(bound, (int) Math.ceil(terms.leastShare() * members.length - 1e-9));
    }
}
