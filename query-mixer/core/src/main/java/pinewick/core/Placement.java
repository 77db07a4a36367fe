package pinewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Places shard requests: starts queries, selects a replica among the holders of a shard, and sends attempts. */
final class Placement {
    // share of the allowed missing weight; share of the ready replicas
    private static final double START_MISSING_SHARE = 0.9;
    private static final double WIDE = 0.5;
    private static final int NARROW = 8; // shard requests; queries up to this width are never wide

    private final RouterState router;
    private final List<PlacementPlan> reserved = new ArrayList<>();
    private final long[] capacityAtVersion; // by first cell: version when a holder had capacity; negated: none

    Placement(RouterState router) {
        this.router = router;
        capacityAtVersion = new long[router.deployment.cells()];
    }

    /**
     * Starts a query: groups its shard requests by holders, selects the holder with the lowest score for each group and
     * sends them together. If a group finds no capacity, the whole query stays pending, so that no work is spent on a
     * query that is later rejected; but most of the weight that a response may omit can be sent later. Returns false if
     * the query stays pending.
     */
    boolean start(Query query, boolean reserve) {
        if (!reserve && !canStart(query)) {
            return false; // replanning all pending queries after each batch took most of a router's CPU time
        }
        PlacementPlan plan = new PlacementPlan();
        // Where a call has overhead, shard requests with the same holders share one call and pay it once.
        List<List<ShardRequest>> groups = query.unsent(callsCostWork());
        groups.forEach(group -> plan.add(group, selectReplica(group.get(0), group.size())));
        if (!query.started() && plan.missingWeight() > START_MISSING_SHARE * query.allowedMissingWeight()) {
            // Under overload narrow queries would starve a wide one of capacity, so the first by value keeps its
            // reservation for this pass. Not done with a single service class, as capacity would lie idle.
            if (reserve) {
                reserved.add(plan);
            } else {
                plan.release();
            }
            router.capacityVersion++;
            return false;
        }
        plan.releaseOnlyThis();
        query.startedAt = query.started() ? query.startedAt : router.now();
        query.canary = needsCanary(query);
        for (Map.Entry<List<ShardRequest>, Replica> entry : plan.replicas().entrySet()) {
            entry.getKey().forEach(request -> sendAttempt(request, entry.getValue()));
            if (query.canary) {
                return true; // the others wait for the canary's answer; of a wide query, until it is overdue
            }
        }
        return plan.replicas().size() == groups.size();
    }

    void releaseReserved() {
        reserved.forEach(PlacementPlan::release);
        reserved.clear();
    }

    private boolean callsCostWork() {
        return router.deployment.maxRequestsPerCall() > 1 && router.deployment.callOverheadSeconds() > 0;
    }

    /** Whether enough shard requests have a holder that accepts one now; for a started query one is enough. */
    private boolean canStart(Query query) {
        if (query.started()) {
            return query.requests.values().stream().anyMatch(request -> request.unsent() && anyHolderAccepts(request));
        }
        double missing = query.weightOf(request -> request.unsent() && !anyHolderAccepts(request));
        return missing <= START_MISSING_SHARE * query.allowedMissingWeight();
    }

    /** Whether so many shards have no ready holder that no answer is possible. */
    boolean lacksHolders(Query query) {
        return query.weightOf(request -> request.attempts.isEmpty()
                        && router.replicas.holders(request).isEmpty())
                > query.allowedMissingWeight();
    }

    /**
     * Whether one shard request goes first as a canary, since some queries crash every replica that runs them. Applies
     * to the widest queries (until the canary is overdue), to client retries, and to all queries after a lost
     * connection. It costs the duration of one answer.
     */
    boolean needsCanary(Query query) {
        boolean alarm = router.now()
                < router.connectionLostAt + router.deployment.rules().warmUpSeconds();
        int width = query.requests.size();
        boolean wide = width > Math.max(NARROW, WIDE * router.replicas.ready());
        return query.answered == 0
                && query.phase == 1
                && width > 1
                && (alarm || query.clientRetry || (wide && query.overdueRequests(router.now()) == 0));
    }

    /** Selects the holder with the lowest score that accepts so many shard requests now; null if there is none. */
    Replica selectReplica(ShardRequest request, int count) {
        Replica best = null;
        double lowest = 0;
        for (Replica replica : router.replicas.holders(request)) {
            if (canAccept(replica, request, count)) {
                // Where a call has overhead, joining a planned call is free, and any other call adds the overhead.
                double score = !callsCostWork()
                        ? replica.score(request, replica.planned)
                        : replica.score(request, 0)
                                + (replica.planned > 0 ? 0 : router.deployment.callOverheadSeconds());
                if (best == null || score < lowest) {
                    best = replica;
                    lowest = score;
                }
            }
        }
        return best;
    }

    /**
     * Whether the replica accepts so many shard requests. An unhealthy holder is the last resort, for one request at a
     * time, as its state may be misjudged.
     */
    private boolean canAccept(Replica replica, ShardRequest request, int count) {
        return !request.outstandingAt(replica)
                && replica.hasWarmUpBudget(request.query, count)
                && (replica.isHealthy()
                        ? replica.hasCapacity(count)
                        : replica.load() == 0
                                && router.replicas.holders(request).stream().noneMatch(Replica::isHealthy));
    }

    /** Whether any holder accepts an unsent shard request: cached per version, unless a random draw decides. */
    private boolean anyHolderAccepts(ShardRequest request) {
        int first = request.firstCell;
        if (Math.abs(capacityAtVersion[first]) == router.capacityVersion) {
            return capacityAtVersion[first] > 0; // evaluating each time took half of a busy router's CPU time
        }
        boolean found = false;
        boolean sameForAll = true;
        for (Replica replica : router.replicas.holders(request)) {
            sameForAll &= !replica.isWarmingUp();
            found = found || canAccept(replica, request, 1);
        }
        capacityAtVersion[first] = !sameForAll ? 0 : found ? router.capacityVersion : -router.capacityVersion;
        return found;
    }

    void sendAttempt(ShardRequest request, Replica replica) {
        Query query = request.query;
        double now = router.now();
        if (!request.attempts.isEmpty()) {
            router.reattempts.add(now, 1);
        }
        boolean freshReport = now - replica.reportedAt < Replica.REPORT_LIFETIME * router.latencyTargetSeconds;
        double queuedAhead = freshReport ? replica.queue + replica.sentSinceReport : 0;
        Attempt attempt = new Attempt(replica, now, now + query.serviceClass.hedgeDelay(), queuedAhead);
        router.capacityVersion++;
        request.onAttemptSent(attempt);
        replica.onAttemptSent(attempt);
        if (replica.isWarmingUp()) {
            replica.warmUpWork.add(now, query.serviceClass.meanWork());
        }
        double longest = Math.min(query.usefulUntil() - now, query.serviceClass.config.latencyTargetSeconds());
        router.host.sendAttempt(request.id, replica.id, Math.max(router.deployment.timerGranularitySeconds(), longest));
    }
}
