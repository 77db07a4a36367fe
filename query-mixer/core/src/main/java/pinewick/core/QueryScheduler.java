package pinewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The decisions of one router. A front end tells it of replicas and queries and ends each batch of events;
 * what is decided goes out through {@link SchedulerHost}. Start reading at {@link Placement#start}, the usual path of
 * a query, then {@link #check}, which looks after what is outstanding. Exceptions: see docs/design.md.
 */
public final class QueryScheduler {
    static final double CHECK_INTERVAL = 0.01; // of the latency goal, like the next
    private static final double OVERLOAD_WAIT = 0.1; // of the oldest held query
    // of `askWithin`; least share of a wait
    private static final double LIST_SHARE = 0.25;
    private static final double LIST_SPREAD = 0.5;
    private static final long CHECK_TIMER = 0;
    private static final long QUERY_TIMER = 1;

    private final RouterState router;
    private final Placement placement;
    private final RetryPolicy retries;
    private final ReplicaProber probes;
    private final List<ServiceClass> grades = new ArrayList<>();
    private double listAgainAt = Double.POSITIVE_INFINITY;
    private int listFailures;
    private boolean checkDue;

    public QueryScheduler(SchedulerHost host, SchedulerHost.Deployment deployment, SplittableRandom random) {
        router = new RouterState(host, deployment, random);
        placement = new Placement(router);
        retries = new RetryPolicy(router, placement);
        probes = new ReplicaProber(router);
        deployment.grades().forEach(terms -> grades.add(new ServiceClass(terms, deployment.callWork())));
        if (deployment.mustAsk()) {
            host.track(true);
        }
        host.timer(CHECK_INTERVAL * router.latencyGoal, CHECK_TIMER);
    }

    /** So many routers live, for the score, and so many may send at most, for this one's share in rule 4. */
    public void routers(int live, int sending) {
        router.routers = live;
        router.sendingRouters = sending;
    }

    /** News of the list. Draining and gone replicas get nothing new from this call on (rule 3). */
    public void list(SchedulerHost.ListUpdateKind form, List<SchedulerHost.ReplicaEntry> entries) {
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        double now = router.now();
        double goal = router.latencyGoal;
        if (form == SchedulerHost.ListUpdateKind.FAILED) {
            // Waits are spread, or all routers would ask the list's service again at once.
            double wait = Replica.BACKOFF * goal * (1 << Math.min(listFailures++, 5));
            double spread = LIST_SPREAD + router.random.nextDouble();
            listAgainAt = now + Math.min(wait, rules.askWithin() * LIST_SHARE) * spread;
            return;
        }
        listFailures = 0;
        listAgainAt = Double.POSITIVE_INFINITY;
        router.replicas.update(form != SchedulerHost.ListUpdateKind.CHANGES, entries, now);
        router.turn++;
        // With ever new ids memory would grow all day: one gone is forgotten once no rule needs it.
        double keep = 2 * Replica.LONGEST_BACKOFF * goal + rules.coldTime() + rules.fallTime();
        router.replicas.forgetGone(now, keep);
    }

    /** Takes a query of so many parts; it starts once all of them have been handed in. */
    public Query take(String id, int grade, double timeToLive, int parts, double workHint, boolean retry) {
        Query query = new Query(router, retries, id, grades.get(grade), timeToLive, parts, workHint, retry);
        router.taken.add(router.now(), 1);
        router.live.add(query);
        // With a long goal the periodic check comes too seldom to end a query in time.
        startQueryTimer(query.stopAt);
        if (query.grade.terms.leastShare() < query.grade.terms.wholeFrom()) {
            startQueryTimer(query.partialAt());
        }
        return query;
    }

    private void startQueryTimer(double at) {
        router.host.timer(Math.max(router.deployment.tick(), at - router.now()), QUERY_TIMER);
    }

    /** A timer that was asked for has fired. */
    public void timerFired(long name) {
        checkDue = true;
        if (name == CHECK_TIMER) {
            router.host.timer(CHECK_INTERVAL * router.latencyGoal, CHECK_TIMER);
        }
    }

    /** How a probe ended. */
    public void probed(String id, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        Replica replica = router.replicas.get(id);
        if (replica != null) {
            probes.ended(replica, ending, report);
        }
    }

    /** After each batch: starts what is held, as it came, or by value once the oldest waited too long. */
    public void endOfBatch() {
        if (checkDue) {
            checkDue = false;
            check();
        }
        router.turn++;
        router.batchEndedAt = router.now();
        List<Query> order = new ArrayList<>(router.held);
        double longestWait = order.isEmpty() ? 0 : router.now() - order.get(0).takenAt;
        boolean overload = longestWait > OVERLOAD_WAIT * router.latencyGoal;
        if (overload) {
            order.forEach(query -> query.valueForWork =
                    query.grade.terms.value() / (query.parts.size() * query.grade.answerTime(0.5)));
            order.sort((one, other) -> Double.compare(other.valueForWork, one.valueForWork));
        }
        boolean mayReserve = overload && grades.size() > 1;
        for (Query query : order) {
            if (query.ended || probes.awaited(query)) {
                continue;
            }
            if (!query.started() && hopeless(query)) {
                query.conclude();
            } else if (placement.start(query, mayReserve)) {
                router.held.remove(query);
            } else {
                mayReserve = false; // room is reserved for one query at a time
            }
        }
        placement.releaseReserved();
    }

    /** What cannot be fulfilled in time is declined before work or half of the client's time is spent. */
    private boolean hopeless(Query query) {
        return router.now() + query.grade.runTime() > Math.min(query.goalAt, query.stopAt)
                || router.now() > query.startBy
                || placement.lacksHolders(query);
    }

    /** Looks after what is outstanding: answers that are due, overdue launches, replicas after a backoff. */
    private void check() {
        if (router.now() >= listAgainAt) {
            listAgainAt = Double.POSITIVE_INFINITY;
            router.host.track(true);
        }
        retries.hasBudget(true); // lets its sums forget what is older than their window
        for (Query query : List.copyOf(router.live)) {
            if (query.due()) {
                query.conclude();
            } else if (query.started()) {
                if (query.canary && !placement.needsCanary(query)) {
                    query.endCanary();
                }
                long overdue = query.overdueParts(router.now());
                query.parts.values().forEach(part -> retries.retry(part, overdue));
            }
        }
        router.replicas.all().forEach(probes::probeAfterBackoff);
    }
}
