package pinewick.core;

/** A replica as one router judges it: its score, its health, and how much more it may be sent. */
final class Replica extends ReplicaState {
    // Shares of the latency goal: how long a report counts, a probe may take, and failures keep it unused.
    static final double REPORT_LIFETIME = 0.5;
    static final double PROBE_WAIT = 0.02;
    static final double BACKOFF = 0.25;
    static final double LONGEST_BACKOFF = 2;
    static final double FEW_ROUTERS = 4; // from twice as many on, each hears little of a replica
    // goals; decides between equal scores
    private static final double LONGEST_QUEUE = 0.3;
    private static final double OTHER_ZONE = 1e-6;
    // of smoothed values; of budgets
    private static final double NEWEST_WEIGHT = 0.3;
    private static final double COLD_MARGIN = 0.8;
    // parts; factor after a slow answer
    private static final double FIRST_ROOM = 4;
    private static final double ROOM_CUT = 0.8;

    private final RouterState router;

    Replica(String id, RouterState router) {
        super(id, FIRST_ROOM);
        this.router = router;
    }

    /** The C3 score of docs/design.md; unlike there, measurements fade with age and silence counts. */
    double score(ShardRequest part, int planned) {
        double now = router.now();
        double guess = FleetStats.FIRST_GUESS * part.query.grade.terms.latencyGoal();
        double known = 0;
        double meanLatency = 0;
        double meanLowest = 0;
        double meanQueue = 0;
        for (Replica holder : router.replicas.holders(part)) {
            if (holder.measured) {
                known++;
                meanLatency += holder.latency;
                meanLowest += holder.lowestLatency();
                meanQueue += holder.queue;
            }
        }
        meanLatency = known == 0 ? guess : meanLatency / known;
        meanLowest = known == 0 ? guess : meanLowest / known;
        meanQueue /= Math.max(1, known);
        double lowest = measured ? lowestLatency() : meanLowest;
        // Shunned after one slow part it gets no answers to mend its latency: so that fades.
        double base = Math.max(meanLatency, router.host.othersPace(id)); // others only make it look worse
        double expected = measured ? base + (latency - base) * freshness() : base;
        // A hung replica keeps its good figures: the age of its oldest launch is a lower bound.
        expected = Math.max(expected, now - oldestSentAt(now));
        // A stale report of a short queue would draw parts: with age it counts like its neighbours'.
        double length = meanQueue + (queue - meanQueue) * Math.exp((reportedAt - now) / (2 * meanLatency));
        length = Math.max(length, hiddenQueue());
        double queued = 1 + (outstanding.size() + planned) * router.routers + length * (1 + busyShare);
        return expected - lowest + queued * queued * queued * lowest + (sameZone ? 0 : OTHER_ZONE);
    }

    /** How much own measurements still count; kept longer by many routers, each of which has few. */
    private double freshness() {
        double lifetime = REPORT_LIFETIME * router.latencyGoal * Math.max(1, router.routers / FEW_ROUTERS);
        return Math.min(1, Math.exp(1 - (router.now() - answeredAt) / lifetime));
    }

    /** The queue beyond reports that own answers tell of, as far as such queues were found to last. */
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
                : FleetStats.FIRST_GUESS * router.latencyGoal;
    }

    boolean canAnswerInTime(Query query) {
        return query.usefulUntil() - router.now() > Math.max(latency, lowestLatency());
    }

    /** Neither in backoff after failures nor overdue with a probe's answer or with all it was sent. */
    boolean healthy() {
        double now = router.now();
        if (failures > 0 || (probing && now > probedAt + PROBE_WAIT * router.latencyGoal)) {
            return failures > 0
                    && now >= backoffUntil
                    && outstanding.isEmpty()
                    && (trialAllowed || !router.deployment.mayProbe() || warmingUp());
        }
        double silence = now - Math.max(answeredAt, oldestSentAt(now));
        return silence <= ServiceClass.LONGEST_HEDGE_DELAY * router.latencyGoal
                && !router.host.othersWarn(id, answeredAt);
    }

    /** Whether so many more parts would wait shortly; for one, hidden queues hinder only many routers. */
    boolean hasRoom(int count) {
        double most = LONGEST_QUEUE * router.latencyGoal / router.fleet.drainTime();
        boolean staleReport = router.now() - reportedAt >= REPORT_LIFETIME * router.latencyGoal;
        return (load() == 0 || load() + count <= room)
                && (staleReport || queue + launchedSinceReport + planned + count - 1 <= most)
                && (hiddenQueue() <= most || (load() == 0 && router.routers <= most));
    }

    boolean warmingUp() {
        return startedAt > 0
                && router.now() < startedAt + router.deployment.rules().coldTime();
    }

    /** Rule 4: this router's share of what a cold replica may be sent, over the window that counts. */
    boolean hasColdBudget(Query query, int count) {
        if (!warmingUp()) {
            return true;
        }
        SchedulerHost.SchedulingRules rules = router.deployment.rules();
        double window = rules.fallTime();
        double from = router.now() - window;
        double capacity = rules.capacity(Math.max(startedAt, from) - startedAt);
        double spent = coldWork.since(from);
        double work = query.grade.meanWork();
        double share =
                COLD_MARGIN * rules.overloadFactor() * capacity * router.fleet.warmCores(work) / router.sendingRouters;
        if (share * window >= (count + planned) * work) {
            return spent + (count + planned) * work <= share * window;
        }
        // With many routers a share is under one part. A random draw then lets some queries in, by the share
        // over the parts that came, so that the routers' sum doesn't grow with the demand. Few routers draw
        // seldom: all may go where one part from each is within what chance explains.
        double calls = share * window * router.sendingRouters / COLD_MARGIN / work;
        double came = 1 + router.replicas.partsTakenFor(cell, router.now() - rules.coldTime());
        double lived = Math.min(rules.coldTime(), router.now() - router.openedAt);
        return spent == 0
                && load() == 0
                && (count * router.sendingRouters < calls + Math.sqrt(calls) + 1
                        || query.randomDraw * came * work < share * lived);
    }

    /** Takes in a load report; null where none came. */
    void reported(SchedulerHost.LoadReport report) {
        if (report == null) {
            return;
        }
        queue = !Double.isNaN(report.pending())
                ? report.pending()
                : !Double.isNaN(report.inFlight()) ? report.inFlight() : 0;
        busyShare = Double.isNaN(report.busyShare()) ? 0 : report.busyShare();
        reportedAt = router.now();
        launchedSinceReport = 0;
        router.fleet.queueReported(queue);
        if (report.servedRate() > 0 && !warmingUp()) {
            router.fleet.servedRates.add(report.servedRate());
        }
    }

    /** An answer: {@code expected} is what reports foretold, {@code target} what still counts as prompt. */
    void answered(Attempt launch, double took, double expected, double target) {
        newestAnsweredSentAt = Math.max(newestAnsweredSentAt, launch.sentAt);
        if (failures > 0 && unreachable && router.deployment.rules().coldTime() > 0) {
            // It had answered, then was out of reach: it has restarted, and the list doesn't say so yet.
            startedAt = Math.max(startedAt, router.now());
        }
        failures = 0;
        unreachable = trialAllowed = false;
        heardFrom(SchedulerHost.Outcome.FULFILLED);
        answeredAt = router.now();
        lowestLatency.add(answeredAt, took, LONGEST_BACKOFF * router.latencyGoal);
        measured(took, expected, true);
        if (took <= target) {
            room += outstanding.size() + 1 >= room / 2 ? 1 / room : 0;
        } else if (answeredAt - roomCutAt > took) {
            room = Math.max(1, room * ROOM_CUT);
            roomCutAt = answeredAt;
        }
    }

    /** Takes in a latency; a silent replica's time-outs tell of no queue, or it would be shunned too long. */
    void measured(double took, double expected, boolean tellsOfQueue) {
        if (tellsOfQueue) {
            double now = router.now();
            double extra = Math.max(0, took - expected);
            router.fleet.hiddenDelays.record(now - hiddenDelayAt, hiddenDelay, Math.min(extra, 2 * hiddenDelay));
            hiddenDelay += NEWEST_WEIGHT * (extra - hiddenDelay);
            hiddenDelayAt = now;
        }
        latency = measured ? latency + NEWEST_WEIGHT * (took - latency) : took;
        measured = true;
    }

    /** Any failure starts a backoff, growing while failures go on; after it come trials, one at a time. */
    void failed(SchedulerHost.Outcome ending) {
        if (failures == 0) {
            router.host.log(id + " rests, " + ending);
        } else if (router.now() < backoffUntil) {
            return;
        }
        double backoff = Math.min(LONGEST_BACKOFF, BACKOFF * (1 << Math.min(failures, 6)));
        backoffUntil = router.now() + backoff * router.latencyGoal;
        failures++;
        trialAllowed = false;
        unreachable |= ending == SchedulerHost.Outcome.NOT_CONNECTED && answeredAt > Double.NEGATIVE_INFINITY;
    }
}
