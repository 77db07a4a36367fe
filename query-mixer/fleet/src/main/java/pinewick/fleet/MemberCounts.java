package pinewick.fleet;

/**
 * The two counts of mixers that decisions take from the view, each erring to the side that does less harm.
 */
final class MemberCounts {
    private final MembershipSettings settings;

    MemberCounts(MembershipSettings settings) {
        this.settings = settings;
    }

    /**
     * For spreading work: those that take part, and those not heard yet, as the list is the best that is known of them.
     * Too high or too low by a little, it only shifts how much others are thought to send. Danger: a mixer that hears
     * nobody would decide as if it were alone, and with all mixers cut off from each other all would do so at the worst
     * time; so not fewer than half of those listed count. Harm: after a true loss of more than half, others are thought
     * to send up to twice and more of what they do.
     */
    int estimatedSenders(Member[] members, int liveCount) {
        int unheardCount = 0;
        for (Member each : members) {
            unheardCount += each.state == MemberState.UNHEARD ? 1 : 0;
        }
        return Math.max(liveCount + unheardCount, (members.length + 1) / 2);
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
    int maxSenders(double now, Member[] members, int self) {
        int maxSenders = 0;
        for (Member each : members) {
            boolean isGone = each.state == MemberState.DEAD || each.state == MemberState.LEFT;
            maxSenders +=
                    each.index == self || !isGone || now - each.inactiveSince < settings.deadCountedSeconds() ? 1 : 0;
        }
        return Math.max(maxSenders, (int) Math.ceil(settings.minCountedShare() * members.length - 1e-9));
    }
}
