package pinewick.core;

/** The handle of an admitted query: the front end reports all further events of the query on it. */
public final class Query extends QueryState {
    // share of the latency target; factor on the fastest decile
    private static final double PROMPT_SHARE = 0.15;
    private static final double BARE_FACTOR = 1.5;
    // share of the client's time; share of the hard deadline
    private static final double START_SHARE = 0.45;
    private static final double RETRY_SHORTFALL = 0.02;
    // tolerance on weights; check intervals missed that indicate a pause of this router
    private static final double ROUNDING = 1e-4;
    private static final double PAUSE_CHECKS = 5;
    // lost connections; timer ticks between a partial answer and its target
    private static final int CRASH_LIMIT = 2;
    private static final int EARLY_TICKS = 4;
    final double targetAt;
    final double deadlineAt;
    final double startDeadlineAt;
    final double randomDraw;
    final boolean clientRetry;
    private final RouterState router;
    private final RetryPolicy retryPolicy;

    Query(
            RouterState router,
            RetryPolicy retryPolicy,
            String id,
            ServiceClass serviceClass,
            double timeToLive,
            int requests,
            double workHint,
            boolean markedAsRetry) {
        super(id, serviceClass, requests, router.now());
        this.router = router;
        this.retryPolicy = retryPolicy;
        randomDraw = router.random.nextDouble();
        deadlineAt = admittedAt + timeToLive - 2 * router.deployment.timerGranularitySeconds();
        startDeadlineAt = admittedAt + START_SHARE * timeToLive;
        // A client's retry has used part of its target. If clients mark no retries, a shorter time to live shows one.
        serviceClass.maxTimeToLive = Math.max(serviceClass.maxTimeToLive, timeToLive);
        double hardDeadline = serviceClass.config.hardDeadlineSeconds();
        clientRetry = router.deployment.clientsMarkRetries()
                ? markedAsRetry
                : timeToLive < serviceClass.maxTimeToLive - RETRY_SHORTFALL * hardDeadline;
        targetAt = admittedAt
                - (clientRetry ? hardDeadline - timeToLive : 0)
                + Math.min(hardDeadline, serviceClass.config.latencyTarget(workHint));
    }

    /** Adds a shard request; the query can start once the last one is added. A repeated id is ignored. */
    public void addShardRequest(String requestId, int shard, double weight) {
        ShardRequest request = new ShardRequest(this, requestId, shard, router.replicas.cell(shard), weight);
        if (requests.putIfAbsent(requestId, request) != null) {
            return;
        }
        router.admitted.add(router.now(), 1);
        router.replicas.recordRequest(request, router.now());
        if (--missingRequests == 0 && !ended) {
            router.pendingQueries.add(this);
        }
    }

    /**
     * Handles the outcome of an attempt, with its duration in seconds and the load report, or null if there is none.
     * Attempts of an ended query still update the state of their replica. Unknown or finished attempts are ignored.
     */
    public void onAttemptEnd(
            String requestId,
            int number,
            SchedulerHost.Outcome outcome,
            double elapsedSeconds,
            SchedulerHost.LoadReport report) {
        ShardRequest request = requests.get(requestId);
        Attempt attempt = finishAttempt(request, number, outcome);
        if (attempt == null) {
            return;
        }
        Replica replica = attempt.replica;
        double latency = withoutOwnPause(elapsedSeconds, replica);
        replica.onLoadReport(report);
        double queued = router.fleet.drainTime() * (1 + attempt.queuedAhead);
        double expected = Math.max(serviceClass.attemptLatency(0.5), queued);
        if (outcome == SchedulerHost.Outcome.FULFILLED) {
            answered(request, attempt, latency, expected);
        } else if (outcome != SchedulerHost.Outcome.MOOT) { // never sent, so it says nothing about the replica
            failed(attempt, outcome, latency, expected);
        }
        router.host.onReplicaMeasured(replica.id, replica.latency, replica.queue, replica.consecutiveFailures);
        if (!ended
                && answered == 0
                && lostConnections >= (router.now() < serviceClass.crashAlertUntil ? 1 : CRASH_LIMIT)) {
            // A query that crashes each replica that runs it would crash another one with each attempt.
            serviceClass.crashAlertUntil =
                    router.now() + router.deployment.rules().warmUpSeconds();
            conclude();
        } else if (!ended && !request.done) {
            retryPolicy.retry(request, overdueRequests(router.now()));
        }
    }

    /** Subtracts a pause of this router itself (a gap between batches), which makes every answer look slow. */
    private double withoutOwnPause(double elapsedSeconds, Replica replica) {
        double gap = router.now() - router.batchEndedAt;
        return gap > PAUSE_CHECKS * QueryScheduler.CHECK_INTERVAL * router.latencyTargetSeconds
                ? Math.max(Math.min(elapsedSeconds, replica.lowestLatency()), elapsedSeconds - gap)
                : elapsedSeconds;
    }

    private void answered(ShardRequest request, Attempt attempt, double elapsedSeconds, double expected) {
        if (attempt.queuedAhead >= 2) {
            router.fleet.drainTimes.add(elapsedSeconds / (1 + attempt.queuedAhead));
        }
        // The prompt limit is at least the bare work's duration, or all replicas would look overloaded.
        double prompt = Math.max(
                PROMPT_SHARE * serviceClass.config.latencyTargetSeconds(),
                BARE_FACTOR * serviceClass.attemptLatency(0.1));
        attempt.replica.answered(attempt, elapsedSeconds, expected, prompt);
        serviceClass.attemptLatencies.add(elapsedSeconds);
        if (request.done || ended) {
            return;
        }
        answered(request);
        if (canary) {
            endCanary();
        }
        if (answered == requests.size() || (phase == 1 && answeredWeight >= serviceClass.config.completeShare())) {
            mergeResults(true);
        } else if (allResolved()) {
            conclude();
        }
    }

    private void failed(Attempt attempt, SchedulerHost.Outcome outcome, double elapsedSeconds, double expected) {
        Replica replica = attempt.replica;
        boolean waited = outcome == SchedulerHost.Outcome.CANCELLED || outcome == SchedulerHost.Outcome.TIMED_OUT;
        // A failure counts as the full time-out, or failing early would make a replica look fast.
        double counted = outcome == SchedulerHost.Outcome.CANCELLED ? replica.latency : usefulUntil() - attempt.sentAt;
        replica.unresponsive |= outcome == SchedulerHost.Outcome.NOT_CONNECTED;
        replica.recordLatency(Math.max(elapsedSeconds, counted), expected, waited && !replica.unresponsive);
        // An attempt lost in transit, while later ones are answered, is not a failure of the replica.
        if (!waited || replica.newestAnsweredSentAt <= attempt.sentAt) {
            replica.onFailure(outcome);
        }
        if (outcome == SchedulerHost.Outcome.DROPPED) {
            lostConnections++;
            router.connectionLostAt = router.now();
        }
    }

    /** The client has cancelled the query, or one of its shard requests, which ends the whole query. */
    public void onCancelled(String cancelledId) {
        if (!cancelledId.equals(id)) {
            conclude();
        }
        end();
    }

    /** The weight that an answer may lack, plus a rounding tolerance. */
    double allowedMissingWeight() {
        return 1 - serviceClass.config.minShare() + ROUNDING;
    }

    /** Whether a partial answer is allowed and the required weight has been answered. */
    boolean hasMinShare() {
        return allowedMissingWeight() > ROUNDING && answeredWeight >= 1 - allowedMissingWeight();
    }

    void endCanary() {
        canary = false;
        router.pendingQueries.add(this);
    }

    /** No attempt of this shard request is left: the query continues while the others can still form an answer. */
    void exhausted(ShardRequest request) {
        markExhausted(request);
        if (lostWeight > allowedMissingWeight() || allResolved()) {
            conclude();
        }
    }

    /** When a partial answer is due: before the target, since the response takes time to reach the client. */
    double partialAt() {
        return targetAt - EARLY_TICKS * router.deployment.timerGranularitySeconds();
    }

    double usefulUntil() {
        return serviceClass.config.lateValue() > 0 || canAnswerPartially()
                ? deadlineAt
                : Math.min(targetAt, deadlineAt);
    }

    private boolean canAnswerPartially() {
        SchedulerHost.ServiceClassConfig config = serviceClass.config;
        return config.secondPhaseRequests() == 0
                && config.minShare() < config.completeShare()
                && answeredWeight >= config.minShare()
                && config.partialValue() > config.lateValue();
    }

    boolean due() {
        return router.now() >= usefulUntil() || (router.now() >= partialAt() && canAnswerPartially());
    }

    private void mergeResults(boolean complete) {
        router.host.mergeResults(id, complete);
        serviceClass.queryLatencies.add(router.now() - startedAt);
        if (serviceClass.config.secondPhaseRequests() > 0 && phase == 1) {
            startSecondPhase(Math.min(serviceClass.config.secondPhaseRequests(), answered));
        } else {
            end();
        }
    }

    /** Sends the final answer at once, as no more results can arrive: partial, rejected or failed. */
    void conclude() {
        if (ended) {
            return;
        }
        if (canAnswerPartially()) {
            mergeResults(false);
        } else if (serviceClass.config.retrySafety() == SchedulerHost.RetrySafety.IDEMPOTENT
                || neverRan()) { // safe to retry
            double advice =
                    Math.min(router.deployment.maxRetryAfterSeconds(), Replica.BACKOFF * router.latencyTargetSeconds);
            router.host.rejectQuery(id, router.deployment.allowsRetryAfter() ? advice : 0);
        } else {
            router.host.failQuery(id);
        }
        end();
    }

    private void end() {
        ended = true;
        router.activeQueries.remove(this);
        router.pendingQueries.remove(this);
    }
}
