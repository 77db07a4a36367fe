package pinewick.core;

/** A replica as seen by one router: its score, its health, and its remaining capacity. */
final class Replica extends ReplicaState {
    // Shares of the latency target: lifetime of a load report, time-out of a probe, backoff after failures.
    static final double REPORT_LIFETIME = 0.5;
    static final double PROBE_WAIT = 0.02;
    static final double BACKOFF = 0.25;
    static final double MAX_BACKOFF = 2;
    static final double FEW_ROUTERS = 4; // from twice as many on, each router gets few answers of a replica
    // latency targets; tie breaker between equal scores
    private static final double MAX_QUEUE = 0.3;
    private static final double OTHER_ZONE = 1e-6;
    // smoothing factor; share of warm-up budgets
    private static final double NEWEST_WEIGHT = 0.3;
    private static final double WARM_UP_MARGIN = 0.8;
    // shard requests; factor after a slow answer
    private static final double INITIAL_LIMIT = 4;
    private static final double LIMIT_DECREASE = 0.8;

    private final RouterState router;

    Replica(String id, RouterState router) {
        super(id, INITIAL_LIMIT);
        this.router = router;
    }

    /** The C3 score of docs/design.md; unlike there, measurements decay with age, and a missing answer counts. */
    double score(ShardRequest request, int planned) {
        double now = router.now();
        double guess = FleetStats.INITIAL_ESTIMATE * request.query.serviceClass.config.latencyTargetSeconds();
        double known = 0;
        double meanLatency = 0;
        double meanLowest = 0;
        double meanQueue = 0;
        for (Replica holder : router.replicas.holders(request)) {
            if (holder.hasMeasurements) {
                known++;
                meanLatency += holder.latency;
                meanLowest += holder.lowestLatency();
                meanQueue += holder.queue;
            }
        }
        meanLatency = known == 0 ? guess : meanLatency / known;
        meanLowest = known == 0 ? guess : meanLowest / known;
        meanQueue /= Math.max(1, known);
        double lowest = hasMeasurements ? lowestLatency() : meanLowest;
        // A replica avoided after one slow answer gets no new samples, so its own latency estimate decays.
        double base = Math.max(meanLatency, router.host.peerLatency(id)); // reports of peers can only raise it
        double expected = hasMeasurements ? base + (latency - base) * freshness() : base;
        // A hung replica keeps its good estimates: the age of its oldest attempt is a lower bound.
        expected = Math.max(expected, now - oldestSentAt(now));
        // A stale report of a short queue would attract requests: with age it tends to the mean of the holders.
        double length = meanQueue + (queue - meanQueue) * Math.exp((reportedAt - now) / (2 * meanLatency));
        length = Math.max(length, hiddenQueue());
        double queued = 1 + (outstanding.size() + planned) * router.routers + length * (1 + utilization);
        return expected - lowest + queued * queued * queued * lowest + (sameZone ? 0 : OTHER_ZONE);
    }

    /** The remaining weight of own measurements; it decays more slowly with many routers, each of which has few. */
    private double freshness() {
        double lifetime = REPORT_LIFETIME * router.latencyTargetSeconds * Math.max(1, router.routers / FEW_ROUTERS);
        return Math.min(1, Math.exp(1 - (router.now() - answeredAt) / lifetime));
    }

    /** The queue length that own answers indicate beyond load reports, as far as such queues were found to persist. */
    private double hiddenQueue() {
        return router.routers < 2 * FEW_ROUTERS
                ? 0
                : hiddenDelay
                        * freshness()
                        * router.fleet.hiddenDelays.fractionAt(router.now() - hiddenDelayAt)
                        / router.fleet.drainTime();
    }

    double lowestLatency() {
        return lowestLatency.get() < Double.POSITIVE_INFINITY
                ? lowestLatency.get()
                : FleetStats.INITIAL_ESTIMATE * router.latencyTargetSeconds;
    }

    boolean canAnswerInTime(Query query) {
        return query.usefulUntil() - router.now() > Math.max(latency, lowestLatency());
    }

    /** Whether it is neither in backoff after failures nor overdue with a probe or with all of its attempts. */
    boolean isHealthy() {
        double now = router.now();
        if (consecutiveFailures > 0
                || (probeOutstanding && now > probedAt + PROBE_WAIT * router.latencyTargetSeconds)) {
            return consecutiveFailures > 0
                    && now >= backoffUntil
                    && outstanding.isEmpty()
                    && (trialAllowed || !router.deployment.allowsProbes() || isWarmingUp());
        }
        double silence = now - Math.max(answeredAt, oldestSentAt(now));
        return silence <= ServiceClass.MAX_HEDGE_DELAY * router.latencyTargetSeconds
                && !router.host.peersReportFailure(id, answeredAt);
    }

    /**
     * Whether so many more shard requests would wait only briefly. For a single request hidden queues count only with
     * many routers.
     */
    boolean hasCapacity(int count) {
        double most = MAX_QUEUE * router.latencyTargetSeconds / router.fleet.drainTime();
        boolean staleReport = router.now() - reportedAt >= REPORT_LIFETIME * router.latencyTargetSeconds;
        return (load() == 0 || load() + count <= concurrencyLimit)
                && (staleReport || queue + sentSinceReport + planned + count - 1 <= most)
                && (hiddenQueue() <= most || (load() == 0 && router.routers <= most));
    }

    boolean isWarmingUp() {
        return startedAt > 0
                && router.now() < startedAt + router.deployment.rules().warmUpSeconds();
    }

    /**
     * Rule 4: whether this router's share of a warming-up replica's budget, over the configured window, allows so many
     * more shard requests.
     */
    boolean hasWarmUpBudget(Query query, int count) {
        if (!isWarmingUp()) {
            return true;
        }
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        double window = rules.overloadWindowSeconds();
        double from = router.now() - window;
        double capacity = rules.capacity(Math.max(startedAt, from) - startedAt);
        double spent = warmUpWork.since(from);
        double work = query.serviceClass.meanWork();
        double share = WARM_UP_MARGIN
                * rules.overloadFactor()
                * capacity
                * router.fleet.warmCores(work)
                / router.sendingRouters;
        if (share * window >= (count + planned) * work) {
            return spent + (count + planned) * work <= share * window;
        }
        // With many routers a share is less than one shard request. A random draw then admits some queries, by the
        // share over the requests that arrived, so that the routers' sum does not grow with demand. Few routers
        // draw rarely: all may send where one request from each is within statistical variation.
        double calls = share * window * router.sendingRouters / WARM_UP_MARGIN / work;
        double came = 1 + router.replicas.requestsAdmittedFor(cell, router.now() - rules.warmUpSeconds());
        double lived = Math.min(rules.warmUpSeconds(), router.now() - router.createdAt);
        return spent == 0
                && load() == 0
                && (count * router.sendingRouters < calls + Math.sqrt(calls) + 1
                        || query.randomDraw * came * work < share * lived);
    }

    /** Applies a load report; null if there is none. */
    void onLoadReport(SchedulerHost.LoadReport report) {
        if (report == null) {
            return;
        }
        queue = !Double.isNaN(report.pending())
                ? report.pending()
                : !Double.isNaN(report.inFlight()) ? report.inFlight() : 0;
        utilization = Double.isNaN(report.utilization()) ? 0 : report.utilization();
        reportedAt = router.now();
        sentSinceReport = 0;
        router.fleet.queueReported(queue);
        if (report.servedPerSecond() > 0 && !isWarmingUp()) {
            router.fleet.servedRates.add(report.servedPerSecond());
        }
    }

    /** Records an answer: {@code expected} is the latency that reports predict, {@code target} the limit for prompt. */
    void answered(Attempt attempt, double elapsedSeconds, double expected, double target) {
        newestAnsweredSentAt = Math.max(newestAnsweredSentAt, attempt.sentAt);
        if (consecutiveFailures > 0 && unreachable && router.deployment.rules().warmUpSeconds() > 0) {
            // It had answered, then was unreachable: it has restarted, and discovery does not report this yet.
            startedAt = Math.max(startedAt, router.now());
        }
        consecutiveFailures = 0;
        unreachable = trialAllowed = false;
        onContact(SchedulerHost.Outcome.FULFILLED);
        answeredAt = router.now();
        lowestLatency.add(answeredAt, elapsedSeconds, MAX_BACKOFF * router.latencyTargetSeconds);
        recordLatency(elapsedSeconds, expected, true);
        if (elapsedSeconds <= target) {
            concurrencyLimit += outstanding.size() + 1 >= concurrencyLimit / 2 ? 1 / concurrencyLimit : 0;
        } else if (answeredAt - limitCutAt > elapsedSeconds) {
            concurrencyLimit = Math.max(1, concurrencyLimit * LIMIT_DECREASE);
            limitCutAt = answeredAt;
        }
    }

    /** Records a latency. Time-outs of an unresponsive replica indicate no queue, or it would be avoided too long. */
    void recordLatency(double elapsedSeconds, double expected, boolean indicatesQueue) {
        if (indicatesQueue) {
            double now = router.now();
            double extra = Math.max(0, elapsedSeconds - expected);
            router.fleet.hiddenDelays.record(now - hiddenDelayAt, hiddenDelay, Math.min(extra, 2 * hiddenDelay));
            hiddenDelay += NEWEST_WEIGHT * (extra - hiddenDelay);
            hiddenDelayAt = now;
        }
        latency = hasMeasurements ? latency + NEWEST_WEIGHT * (elapsedSeconds - latency) : elapsedSeconds;
        hasMeasurements = true;
    }

    /** Starts a backoff, which grows with consecutive failures; after it come trials, one at a time. */
    void onFailure(SchedulerHost.Outcome outcome) {
        if (consecutiveFailures == 0) {
            router.host.log(id + " rests, " + outcome);
        } else if (router.now() < backoffUntil) {
            return;
        }
        double backoff = Math.min(MAX_BACKOFF, BACKOFF * (1 << Math.min(consecutiveFailures, 6)));
        backoffUntil = router.now() + backoff * router.latencyTargetSeconds;
        consecutiveFailures++;
        trialAllowed = false;
        unreachable |= outcome == SchedulerHost.Outcome.NOT_CONNECTED && answeredAt > Double.NEGATIVE_INFINITY;
    }
}
