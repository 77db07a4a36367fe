package pinewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Where parts go: starts queries, chooses a replica among the holders of a shard, and launches. */
final class Placement {
    // of what may lack; of the ready replicas
    private static final double START_LACKS = 0.9;
    private static final double WIDE = 0.5;
    private static final int NARROW = 8; // parts; such a query is never wide

    private final RouterState router;
    private final List<PlacementPlan> reserved = new ArrayList<>();
    private final long[] roomAtTurn; // by first cell: the turn in which some holder had room; negated, none

    Placement(RouterState router) {
        this.router = router;
        roomAtTurn = new long[router.deployment.cells()];
    }

    /** The usual path of a query: group its parts by holders, each group to the holder of lowest score,
     *  launch all together. If one finds no room, all are held, as no work may go to what is declined; but of
     *  the parts that an answer may lack most may follow later. False if the query stays held. */
    boolean start(Query query, boolean reserve) {
        if (!reserve && !startable(query)) {
            return false; // planning anew what is held after each batch took most of a router's time
        }
        PlacementPlan plan = new PlacementPlan();
        // Where a call costs work, parts with the same holders share it, or they would pay twice.
        List<List<ShardRequest>> groups = query.unlaunched(callsCostWork());
        groups.forEach(group -> plan.add(group, choose(group.get(0), group.size())));
        if (!query.started() && plan.missingWeight() > START_LACKS * query.mayLack()) {
            // Under overload narrow queries would take bit by bit the room that a wide one needs: so the
            // first by value keeps what it found in this turn. Not done within one grade, as room lies idle.
            if (reserve) {
                reserved.add(plan);
            } else {
                plan.withdraw();
            }
            router.turn++;
            return false;
        }
        plan.withdrawOnlyThis();
        query.startedAt = query.started() ? query.startedAt : router.now();
        query.canary = needsCanary(query);
        for (Map.Entry<List<ShardRequest>, Replica> entry : plan.replicas().entrySet()) {
            entry.getKey().forEach(part -> launch(part, entry.getValue()));
            if (query.canary) {
                return true; // the rest waits for its answer; of a wide query, until it is overdue
            }
        }
        return plan.replicas().size() == groups.size();
    }

    void releaseReserved() {
        reserved.forEach(PlacementPlan::withdraw);
        reserved.clear();
    }

    private boolean callsCostWork() {
        return router.deployment.callSize() > 1 && router.deployment.callWork() > 0;
    }

    /** Whether enough parts have a holder that may take one now; of a started query any will do. */
    private boolean startable(Query query) {
        if (query.started()) {
            return query.parts.values().stream().anyMatch(part -> part.unlaunched() && anyFits(part));
        }
        double missing = query.weightOf(part -> part.unlaunched() && !anyFits(part));
        return missing <= START_LACKS * query.mayLack();
    }

    /** Whether so many shards have no holder at all that no answer could be given. */
    boolean lacksHolders(Query query) {
        return query.weightOf(part ->
                        part.launches.isEmpty() && router.replicas.holders(part).isEmpty())
                > query.mayLack();
    }

    /** Whether one part goes first: some queries bring down all that begin them. So for the widest (until
     *  that part is overdue), clients' retries, and all after a lost connection. Cost: an answer's time. */
    boolean needsCanary(Query query) {
        boolean alarm = router.now()
                < router.connectionLostAt + router.deployment.rules().coldTime();
        int width = query.parts.size();
        boolean wide = width > Math.max(NARROW, WIDE * router.replicas.ready());
        return query.answered == 0
                && query.step == 1
                && width > 1
                && (alarm || query.clientRetry || (wide && query.overdueParts(router.now()) == 0));
    }

    /** The lowest score among the holders fit to take so many parts now; null if there is none. */
    Replica choose(ShardRequest part, int count) {
        Replica best = null;
        double lowest = 0;
        for (Replica replica : router.replicas.holders(part)) {
            if (fits(replica, part, count)) {
                // Where a call costs work, a part joins one of this turn for nothing, another costs one more.
                double score = !callsCostWork()
                        ? replica.score(part, replica.planned)
                        : replica.score(part, 0) + (replica.planned > 0 ? 0 : router.deployment.callWork());
                if (best == null || score < lowest) {
                    best = replica;
                    lowest = score;
                }
            }
        }
        return best;
    }

    /** An unhealthy holder is the last resort, for one part at a time: it may be judged wrongly. */
    private boolean fits(Replica replica, ShardRequest part, int count) {
        return !part.outstandingAt(replica)
                && replica.hasColdBudget(part.query, count)
                && (replica.healthy()
                        ? replica.hasRoom(count)
                        : replica.load() == 0
                                && router.replicas.holders(part).stream().noneMatch(Replica::healthy));
    }

    /** Whether any holder may take a part never launched: looked up once a turn, unless a draw decides. */
    private boolean anyFits(ShardRequest part) {
        int first = part.firstCell;
        if (Math.abs(roomAtTurn[first]) == router.turn) {
            return roomAtTurn[first] > 0; // asking each time took half of a busy router's time
        }
        boolean found = false;
        boolean sameForAll = true;
        for (Replica replica : router.replicas.holders(part)) {
            sameForAll &= !replica.warmingUp();
            found = found || fits(replica, part, 1);
        }
        roomAtTurn[first] = !sameForAll ? 0 : found ? router.turn : -router.turn;
        return found;
    }

    void launch(ShardRequest part, Replica replica) {
        Query query = part.query;
        double now = router.now();
        if (!part.launches.isEmpty()) {
            router.relaunched.add(now, 1);
        }
        boolean freshReport = now - replica.reportedAt < Replica.REPORT_LIFETIME * router.latencyGoal;
        double queuedAhead = freshReport ? replica.queue + replica.launchedSinceReport : 0;
        Attempt launch = new Attempt(replica, now, now + query.grade.hedgeDelay(), queuedAhead);
        router.turn++;
        part.launched(launch);
        replica.launched(launch);
        if (replica.warmingUp()) {
            replica.coldWork.add(now, query.grade.meanWork());
        }
        double longest = Math.min(query.usefulUntil() - now, query.grade.terms.latencyGoal());
        router.host.launch(part.id, replica.id, Math.max(router.deployment.tick(), longest));
    }
}
