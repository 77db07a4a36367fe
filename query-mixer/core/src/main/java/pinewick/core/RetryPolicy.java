package pinewick.core;

/** Further launches of parts: retries after failures, and hedges of launches that are overdue. */
final class RetryPolicy {
    private static final double HEAVY = 0.15; // of a query's parts; with more of them overdue it is heavy
    // the budget where none is stated
    private static final double OWN_SHARE = 0.1;
    private static final double OWN_FREE = 5;

    private final RouterState router;
    private final Placement placement;

    RetryPolicy(RouterState router, Placement placement) {
        this.router = router;
        this.placement = placement;
    }

    /** Launches one part of a started query again, or a second copy, where that helps and is allowed. */
    void retry(ShardRequest part, long overdue) {
        if (part.done || part.exhausted || part.query.ended || part.launches.isEmpty()) {
            return;
        }
        if (part.outstanding > 0) {
            if (mayHedge(part, overdue)) {
                hedge(part, part.latest());
            }
        } else if (!mayRepeat(part)) {
            part.query.exhausted(part);
        } else if (hasBudget(true)) {
            Replica next = placement.choose(part, 1);
            if (next != null && next.canAnswerInTime(part.query)) {
                placement.launch(part, next);
            }
        }
    }

    /** A heavy query's parts are all overdue, as in a jam, and each further launch is as heavy: so of several
     *  only one at a failed replica is hedged, and none once the least share of the answer is in. */
    private boolean mayHedge(ShardRequest part, long overdue) {
        Attempt latest = part.latest();
        boolean heavy = overdue > Math.max(1, HEAVY * part.query.parts.size());
        return part.outstanding == 1
                && !latest.over
                && !latest.cancelled
                && part.overdue(router.now())
                && !(overdue > 1 && part.query.hasLeastShare())
                && !(heavy && latest.replica.failures == 0)
                && mayRepeat(part)
                && hasBudget(!latest.replica.healthy());
    }

    private void hedge(ShardRequest part, Attempt latest) {
        Replica next = placement.choose(part, 1);
        if (next == null || !next.healthy() || !next.canAnswerInTime(part.query)) {
            return;
        }
        if (router.deployment.mayOverlap()) {
            placement.launch(part, next);
        } else if (router.deployment.mayCancel() && !latest.replica.healthy()) {
            latest.cancelled = true;
            router.host.cancel(part.id, part.launches.size() - 1);
        }
    }

    /** Rule 2: whether another launch could do no harm. The window runs from the first launch that might have
     *  run when one more was sent, also when that one proves later that it never ran. */
    private boolean mayRepeat(ShardRequest part) {
        SchedulerHost.ServiceClassConfig terms = part.query.grade.terms;
        double soon = router.now() + 2 * router.deployment.tick();
        return part.launches.size() < router.deployment.mostLaunches()
                && (terms.repeat() == SchedulerHost.RetrySafety.IDEMPOTENT
                        || part.launches.stream()
                                .allMatch(launch -> (launch.neverRan && !launch.outstandingAtNext)
                                        || (terms.repeat() == SchedulerHost.RetrySafety.DEDUPLICATED
                                                && soon < launch.sentAt + terms.repeatWindow())));
    }

    /** Rule 6, one launch short of the stated budget; where none is stated, a limit of our own. */
    boolean hasBudget(boolean replacesFailed) {
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        boolean stated = rules.freeLaunches() < Double.POSITIVE_INFINITY;
        double window = stated ? rules.launchWindow() : 2 * Replica.LONGEST_BACKOFF * router.latencyGoal;
        double from = router.now() - window;
        double tick = router.deployment.tick();
        double free = stated ? rules.freeLaunches() : OWN_FREE;
        double most = free + (stated ? rules.launchShare() : OWN_SHARE) * router.taken.since(from + tick);
        return router.relaunched.since(from - tick) + 2 <= most || (!stated && replacesFailed);
    }
}
