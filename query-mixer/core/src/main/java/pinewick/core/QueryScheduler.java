package pinewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The query scheduler of one router: decides on which replica each shard request of a query runs, and when it is
 * retried, hedged or abandoned. A front end reports events and ends each batch of events with {@link #onBatchEnd};
 * the decisions are issued through {@link SchedulerHost}. Start reading at {@link Placement#start}, the usual path of
 * a query, then {@link #runPeriodicCheck}, which handles outstanding work. Exceptions: see docs/design.md.
 */
public final class QueryScheduler {
    static final double CHECK_INTERVAL = 0.01; // share of the latency target, like the next
    private static final double OVERLOAD_WAIT = 0.1; // wait of the oldest pending query
    // share of resubscribeWithinSeconds; minimum share of a wait
    private static final double RESUBSCRIBE_SHARE = 0.25;
    private static final double RESUBSCRIBE_JITTER = 0.5;
    private static final long CHECK_TIMER = 0;
    private static final long QUERY_TIMER = 1;

    private final RouterState router;
    private final Placement placement;
    private final RetryPolicy retryPolicy;
    private final ReplicaProber prober;
    private final List<ServiceClass> serviceClasses = new ArrayList<>();
    private double resubscribeAt = Double.POSITIVE_INFINITY;
    private int listFailures;
    private boolean checkDue;

    public QueryScheduler(SchedulerHost host, SchedulerHost.Deployment deployment, SplittableRandom random) {
        router = new RouterState(host, deployment, random);
        placement = new Placement(router);
        retryPolicy = new RetryPolicy(router, placement);
        prober = new ReplicaProber(router);
        deployment
                .serviceClasses()
                .forEach(config -> serviceClasses.add(new ServiceClass(config, deployment.callOverheadSeconds())));
        if (deployment.mustSubscribe()) {
            host.watchReplicas(true);
        }
        host.scheduleTimer(CHECK_INTERVAL * router.latencyTargetSeconds, CHECK_TIMER);
    }

    /**
     * Sets the number of live routers, used in the replica score, and the maximum number of routers that may be
     * sending, used for this router's share in rule 4.
     */
    public void updateRouterCount(int liveRouters, int sending) {
        router.routers = liveRouters;
        router.sendingRouters = sending;
    }

    /**
     * Applies a discovery update. Draining and gone replicas receive no new attempts from this call on (rule 3).
     * A FAILED update schedules a new subscription after a backoff.
     */
    public void onReplicaListUpdate(SchedulerHost.ListUpdateKind kind, List<SchedulerHost.ReplicaEntry> entries) {
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        double now = router.now();
        double latencyTarget = router.latencyTargetSeconds;
        if (kind == SchedulerHost.ListUpdateKind.FAILED) {
            // Jitter prevents all routers from querying the discovery service at the same moment.
            double wait = Replica.BACKOFF * latencyTarget * (1 << Math.min(listFailures++, 5));
            double spread = RESUBSCRIBE_JITTER + router.random.nextDouble();
            resubscribeAt = now + Math.min(wait, rules.resubscribeWithinSeconds() * RESUBSCRIBE_SHARE) * spread;
            return;
        }
        listFailures = 0;
        resubscribeAt = Double.POSITIVE_INFINITY;
        router.replicas.update(kind != SchedulerHost.ListUpdateKind.INCREMENTAL, entries, now);
        router.capacityVersion++;
        // New replica ids keep appearing, so a gone replica is evicted once no rule needs it; else memory would leak.
        double keep = 2 * Replica.MAX_BACKOFF * latencyTarget + rules.warmUpSeconds() + rules.overloadWindowSeconds();
        router.replicas.evictGone(now, keep);
    }

    /** Admits a query of so many shard requests; it starts once all of them have been added. Times are seconds. */
    public Query submit(
            String id, int serviceClass, double timeToLive, int requestCount, double workHint, boolean retry) {
        Query query = new Query(
                router, retryPolicy, id, serviceClasses.get(serviceClass), timeToLive, requestCount, workHint, retry);
        router.admitted.add(router.now(), 1);
        router.activeQueries.add(query);
        // With a long latency target the periodic check is too infrequent to end a query in time.
        startQueryTimer(query.deadlineAt);
        if (query.serviceClass.config.minShare() < query.serviceClass.config.completeShare()) {
            startQueryTimer(query.partialAt());
        }
        return query;
    }

    private void startQueryTimer(double at) {
        router.host.scheduleTimer(
                Math.max(router.deployment.timerGranularitySeconds(), at - router.now()), QUERY_TIMER);
    }

    /** Handles a timer requested by {@link SchedulerHost#scheduleTimer}. */
    public void onTimer(long timerId) {
        checkDue = true;
        if (timerId == CHECK_TIMER) {
            router.host.scheduleTimer(CHECK_INTERVAL * router.latencyTargetSeconds, CHECK_TIMER);
        }
    }

    /** Handles the outcome of a probe; the report is null if there is none. Unknown replicas are ignored. */
    public void onProbeResult(String id, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        Replica replica = router.replicas.get(id);
        if (replica != null) {
            prober.onProbeEnd(replica, outcome, report);
        }
    }

    /**
     * Ends a batch of events: starts the pending queries, in order of arrival, or by value per unit of work once the
     * oldest of them has waited too long.
     */
    public void onBatchEnd() {
        if (checkDue) {
            checkDue = false;
            runPeriodicCheck();
        }
        router.capacityVersion++;
        router.batchEndedAt = router.now();
        List<Query> order = new ArrayList<>(router.pendingQueries);
        double longestWait = order.isEmpty() ? 0 : router.now() - order.get(0).admittedAt;
        boolean overload = longestWait > OVERLOAD_WAIT * router.latencyTargetSeconds;
        if (overload) {
            order.forEach(query -> query.valuePerWork = query.serviceClass.config.value()
                    / (query.requests.size() * query.serviceClass.attemptLatency(0.5)));
            order.sort((one, other) -> Double.compare(other.valuePerWork, one.valuePerWork));
        }
        boolean mayReserve = overload && serviceClasses.size() > 1;
        for (Query query : order) {
            if (query.ended || prober.isAwaitingProbe(query)) {
                continue;
            }
            if (!query.started() && cannotFinishInTime(query)) {
                query.conclude();
            } else if (placement.start(query, mayReserve)) {
                router.pendingQueries.remove(query);
            } else {
                mayReserve = false; // capacity is reserved for one query at a time
            }
        }
        placement.releaseReserved();
    }

    /**
     * Whether the query should be rejected, because it cannot finish in time: before any work is done for it and before
     * half of the client's time is spent.
     */
    private boolean cannotFinishInTime(Query query) {
        return router.now() + query.serviceClass.expectedQueryLatency() > Math.min(query.targetAt, query.deadlineAt)
                || router.now() > query.startDeadlineAt
                || placement.lacksHolders(query);
    }

    /** Handles outstanding work: answers that are due, overdue attempts, replicas whose backoff has ended. */
    private void runPeriodicCheck() {
        if (router.now() >= resubscribeAt) {
            resubscribeAt = Double.POSITIVE_INFINITY;
            router.host.watchReplicas(true);
        }
        retryPolicy.hasRetryBudget(true); // evicts entries older than the window from its sums
        for (Query query : List.copyOf(router.activeQueries)) {
            if (query.due()) {
                query.conclude();
            } else if (query.started()) {
                if (query.canary && !placement.needsCanary(query)) {
                    query.endCanary();
                }
                long overdue = query.overdueRequests(router.now());
                query.requests.values().forEach(request -> retryPolicy.retry(request, overdue));
            }
        }
        router.replicas.all().forEach(prober::probeAfterBackoff);
    }
}
