package pinewick.fleet;

/** Counts the routers for two kinds of decisions; each count errs to the side that does less harm. */
final class MemberCounts {
    private final MembershipSettings settings;

    MemberCounts(MembershipSettings settings) {
        this.settings = settings;
    }

    /**
     * For load spreading: the active members and those not heard from yet, as the configured list is the best
     * information about them. A small error only shifts the load that other routers are assumed to send. At least
     * half of the listed members count. Without this, a router that hears from nobody would decide as if it were
     * alone, and if all routers were partitioned from each other, all would do so at the worst time; the cost is
     * that after a real loss of more than half of the routers, the others are assumed to send twice their load or
     * more.
     */
    int estimatedSenders(Member[] members, int liveCount) {
        int unheardCount = 0;
        for (Member each : members) {
            unheardCount += each.state == MemberState.UNHEARD ? 1 : 0;
        }
        return Math.max(liveCount + unheardCount, (members.length + 1) / 2);
    }

    /**
     * For shares of a budget that all routers keep together (rule 4): an upper bound. Too low a count would make
     * every share too large, so that together they overload a cold replica; and a dead router cannot be told from
     * one that is only partitioned from the other routers and still sends. So members not heard from yet and
     * suspects count, a death is deducted only after a delay, and the count never falls below the minimum share of
     * the listed members: with that share at the part of the budget that is used at all, even a partition in which
     * each side considers the other dead stays within the budget. The cost is that after a real loss of many
     * routers, the others use less of a cold replica than they could.
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
