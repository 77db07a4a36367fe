package pinewick.fleet;

/**
 * The count of mixers by which a budget is shared. (For spreading work the live count serves: too low or too high, it only
 * shifts how much a mixer thinks others send beside it, so the best guess is taken.)
 */
final class ShareCount {
    private final FleetTerms terms;

    ShareCount(FleetTerms terms) {
        this.terms = terms;
    }

    /**
     * For shares of a budget that all mixers keep together (rule 4): an upper bound. Danger: too low a count makes every
     * share too large, and together they push a cold searcher over; and nobody can tell a dead mixer from one that is only
     * cut off from the other mixers and still sends. So whoever was not heard yet counts, suspects count, a death counts
     * only after it has stood for a while, and the count never falls under the least share of those listed: with that at
     * the part of the budget that is used at all, even a split in which each side takes the other for dead stays inside.
     * Harm: after a true loss of many mixers the rest use less of a cold searcher than they might.
     */
    int bound(double now, Member[] members, int self) {
        int bound = 0;
        for (Member each : members) {
            boolean ended = each.standing == Standing.DEAD || each.standing == Standing.LEFT;
            bound += each.place == self || !ended || now - each.endedAt < terms.lowerAfter() ? 1 : 0;
        }
        return Math.max(bound, (int) Math.ceil(terms.leastShare() * members.length - 1e-9));
    }
}
