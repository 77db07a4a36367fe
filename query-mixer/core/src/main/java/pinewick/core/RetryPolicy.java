package pinewick.core;

/** Decides on further attempts: retries after failures, and hedges of overdue attempts. */
final class RetryPolicy {
    private static final double HEAVY = 0.15; // share of a query's shard requests; with more overdue it is heavy
    // the retry budget if none is configured
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_FREE_RETRIES = 5;

    private final RouterState router;
    private final Placement placement;

    RetryPolicy(RouterState router, Placement placement) {
        this.router = router;
        this.placement = placement;
    }

    /** Retries or hedges a shard request of a started query, where that is useful and allowed. */
    void retry(ShardRequest request, long overdue) {
        if (request.done || request.exhausted || request.query.ended || request.attempts.isEmpty()) {
            return;
        }
        if (request.outstanding > 0) {
            if (canHedge(request, overdue)) {
                hedge(request, request.latest());
            }
        } else if (!canRetry(request)) {
            request.query.exhausted(request);
        } else if (hasRetryBudget(true)) {
            Replica next = placement.selectReplica(request, 1);
            if (next != null && next.canAnswerInTime(request.query)) {
                placement.sendAttempt(request, next);
            }
        }
    }

    /**
     * Whether the latest attempt may be hedged. The shard requests of a heavy query are all overdue, as under overload,
     * and each further attempt is as heavy: of several overdue requests only those at a failed replica are hedged, and
     * none once the minimum share of the answer has arrived.
     */
    private boolean canHedge(ShardRequest request, long overdue) {
        Attempt latest = request.latest();
        boolean heavy = overdue > Math.max(1, HEAVY * request.query.requests.size());
        return request.outstanding == 1
                && !latest.finished
                && !latest.cancelled
                && request.overdue(router.now())
                && !(overdue > 1 && request.query.hasMinShare())
                && !(heavy && latest.replica.consecutiveFailures == 0)
                && canRetry(request)
                && hasRetryBudget(!latest.replica.isHealthy());
    }

    private void hedge(ShardRequest request, Attempt latest) {
        Replica next = placement.selectReplica(request, 1);
        if (next == null || !next.isHealthy() || !next.canAnswerInTime(request.query)) {
            return;
        }
        if (router.deployment.allowsConcurrentAttempts()) {
            placement.sendAttempt(request, next);
        } else if (router.deployment.allowsCancel() && !latest.replica.isHealthy()) {
            latest.cancelled = true;
            router.host.cancelAttempt(request.id, request.attempts.size() - 1);
        }
    }

    /**
     * Rule 2: whether another attempt is safe. The deduplication window runs from the first attempt that might have run
     * when the next one was sent, even if that one later proves that it never ran.
     */
    private boolean canRetry(ShardRequest request) {
        SchedulerHost.ServiceClassConfig config = request.query.serviceClass.config;
        double soon = router.now() + 2 * router.deployment.timerGranularitySeconds();
        return request.attempts.size() < router.deployment.maxAttempts()
                && (config.retrySafety() == SchedulerHost.RetrySafety.IDEMPOTENT
                        || request.attempts.stream()
                                .allMatch(attempt -> (attempt.neverRan && !attempt.outstandingAtRetry)
                                        || (config.retrySafety() == SchedulerHost.RetrySafety.DEDUPLICATED
                                                && soon < attempt.sentAt + config.dedupWindowSeconds())));
    }

    /**
     * Rule 6: whether the retry budget allows another attempt, one short of the configured budget. Without a configured
     * budget the default applies, from which replacements of failed attempts are exempt.
     */
    boolean hasRetryBudget(boolean replacesFailed) {
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        boolean stated = rules.freeRetries() < Double.POSITIVE_INFINITY;
        double window = stated ? rules.retryWindowSeconds() : 2 * Replica.MAX_BACKOFF * router.latencyTargetSeconds;
        double from = router.now() - window;
        double tick = router.deployment.timerGranularitySeconds();
        double free = stated ? rules.freeRetries() : DEFAULT_FREE_RETRIES;
        double most = free + (stated ? rules.retryRatio() : DEFAULT_RETRY_RATIO) * router.admitted.since(from + tick);
        return router.reattempts.since(from - tick) + 2 <= most || (!stated && replacesFailed);
    }
}
