package pinewick.core;

/** A query's handle: all that happens to it after it was taken is a call on this. */
public final class Query extends QueryState {
    // of the goal; of the quickest tenth
    private static final double PROMPT = 0.15;
    private static final double BARE_FACTOR = 1.5;
    // of the client's time; the hard stop
    private static final double START_SHARE = 0.45;
    private static final double RETRY_LACKS = 0.02;
    // of weights; checks missed by a router's pause
    private static final double ROUNDING = 1e-4;
    private static final double PAUSE = 5;
    // lost connections; partial answer before its goal
    private static final int LETHAL = 2;
    private static final int EARLY_TICKS = 4;
    final double goalAt;
    final double stopAt;
    final double startBy;
    final double randomDraw;
    final boolean clientRetry;
    private final RouterState router;
    private final RetryPolicy retries;

    Query(
            RouterState router,
            RetryPolicy retries,
            String id,
            ServiceClass grade,
            double timeToLive,
            int parts,
            double workHint,
            boolean marked) {
        super(id, grade, parts, router.now());
        this.router = router;
        this.retries = retries;
        randomDraw = router.random.nextDouble();
        stopAt = takenAt + timeToLive - 2 * router.deployment.tick();
        startBy = takenAt + START_SHARE * timeToLive;
        // A client's retry has used up part of its goal. It is told by less time where clients mark none.
        grade.longestTimeToLive = Math.max(grade.longestTimeToLive, timeToLive);
        double hardStop = grade.terms.hardStop();
        clientRetry = router.deployment.marksRetries()
                ? marked
                : timeToLive < grade.longestTimeToLive - RETRY_LACKS * hardStop;
        goalAt = takenAt - (clientRetry ? hardStop - timeToLive : 0) + Math.min(hardStop, grade.terms.goal(workHint));
    }

    /** One of the query's parts; the last one awaited lets the query start. */
    public void part(String partId, int shard, double weight) {
        ShardRequest part = new ShardRequest(this, partId, shard, router.replicas.cell(shard), weight);
        if (parts.putIfAbsent(partId, part) != null) {
            return;
        }
        router.taken.add(router.now(), 1);
        router.replicas.partTaken(part, router.now());
        if (--awaited == 0 && !ended) {
            router.held.add(this);
        }
    }

    /** How one launch ended; parts of an ended query still tell about their replica. */
    public void settled(
            String partId, int number, SchedulerHost.Outcome ending, double took, SchedulerHost.LoadReport report) {
        ShardRequest part = parts.get(partId);
        Attempt launch = settle(part, number, ending);
        if (launch == null) {
            return;
        }
        Replica replica = launch.replica;
        double latency = withoutOwnPause(took, replica);
        replica.reported(report);
        double queued = router.fleet.drainTime() * (1 + launch.queuedAhead);
        double expected = Math.max(grade.answerTime(0.5), queued);
        if (ending == SchedulerHost.Outcome.FULFILLED) {
            answered(part, launch, latency, expected);
        } else if (ending != SchedulerHost.Outcome.MOOT) { // never sent, it says nothing of the replica
            failed(launch, ending, latency, expected);
        }
        router.host.saw(replica.id, replica.latency, replica.queue, replica.failures);
        if (!ended && answered == 0 && crashes >= (router.now() < grade.lethalUntil ? 1 : LETHAL)) {
            // A query that brings down each replica that begins it would take one more with each launch.
            grade.lethalUntil = router.now() + router.deployment.rules().coldTime();
            conclude();
        } else if (!ended && !part.done) {
            retries.retry(part, overdueParts(router.now()));
        }
    }

    /** After this router itself stood still (a gap between batches) every answer looks slow. */
    private double withoutOwnPause(double took, Replica replica) {
        double gap = router.now() - router.batchEndedAt;
        return gap > PAUSE * QueryScheduler.CHECK_INTERVAL * router.latencyGoal
                ? Math.max(Math.min(took, replica.lowestLatency()), took - gap)
                : took;
    }

    private void answered(ShardRequest part, Attempt launch, double took, double expected) {
        if (launch.queuedAhead >= 2) {
            router.fleet.drainTimes.add(took / (1 + launch.queuedAhead));
        }
        // Prompt is never less than bare work takes, or all replicas would look jammed.
        double prompt = Math.max(PROMPT * grade.terms.latencyGoal(), BARE_FACTOR * grade.answerTime(0.1));
        launch.replica.answered(launch, took, expected, prompt);
        grade.answerTimes.add(took);
        if (part.done || ended) {
            return;
        }
        answered(part);
        if (canary) {
            endCanary();
        }
        if (answered == parts.size() || (step == 1 && weightIn >= grade.terms.wholeFrom())) {
            assemble(true);
        } else if (nothingAwaited()) {
            conclude();
        }
    }

    private void failed(Attempt launch, SchedulerHost.Outcome ending, double took, double expected) {
        Replica replica = launch.replica;
        boolean waited = ending == SchedulerHost.Outcome.CANCELLED || ending == SchedulerHost.Outcome.TIMED_OUT;
        // A failure counts as the full time-out, or failing early would make a replica look fast.
        double counted = ending == SchedulerHost.Outcome.CANCELLED ? replica.latency : usefulUntil() - launch.sentAt;
        replica.silent |= ending == SchedulerHost.Outcome.NOT_CONNECTED;
        replica.measured(Math.max(took, counted), expected, waited && !replica.silent);
        // A launch lost on the way, while later ones are answered, is no fault of the replica.
        if (!waited || replica.newestAnsweredSentAt <= launch.sentAt) {
            replica.failed(ending);
        }
        if (ending == SchedulerHost.Outcome.DROPPED) {
            crashes++;
            router.connectionLostAt = router.now();
        }
    }

    /** The client has left the query; a part that is gone takes the whole answer with it. */
    public void withdrawn(String goneId) {
        if (!goneId.equals(id)) {
            conclude();
        }
        end();
    }

    /** The weight that an answer may lack, with what rounding takes. */
    double mayLack() {
        return 1 - grade.terms.leastShare() + ROUNDING;
    }

    /** Whether an answer may lack parts and those that it needs are in. */
    boolean hasLeastShare() {
        return mayLack() > ROUNDING && weightIn >= 1 - mayLack();
    }

    void endCanary() {
        canary = false;
        router.held.add(this);
    }

    /** No launch of this part is left: the query goes on while the others can make an answer. */
    void exhausted(ShardRequest part) {
        lost(part);
        if (weightLost > mayLack() || nothingAwaited()) {
            conclude();
        }
    }

    /** When a partial answer is due: before the goal, as its way to the client takes time too. */
    double partialAt() {
        return goalAt - EARLY_TICKS * router.deployment.tick();
    }

    double usefulUntil() {
        return grade.terms.lateValue() > 0 || mayAnswerPartly() ? stopAt : Math.min(goalAt, stopAt);
    }

    private boolean mayAnswerPartly() {
        SchedulerHost.ServiceClassConfig terms = grade.terms;
        return terms.secondStep() == 0
                && terms.leastShare() < terms.wholeFrom()
                && weightIn >= terms.leastShare()
                && terms.partValue() > terms.lateValue();
    }

    boolean due() {
        return router.now() >= usefulUntil() || (router.now() >= partialAt() && mayAnswerPartly());
    }

    private void assemble(boolean whole) {
        router.host.assemble(id, whole);
        grade.runTimes.add(router.now() - startedAt);
        if (grade.terms.secondStep() > 0 && step == 1) {
            nextStep(Math.min(grade.terms.secondStep(), answered));
        } else {
            end();
        }
    }

    /** Gives the final answer at once, as nothing more can come: partial, declined or given up. */
    void conclude() {
        if (ended) {
            return;
        }
        if (mayAnswerPartly()) {
            assemble(false);
        } else if (grade.terms.repeat() == SchedulerHost.RetrySafety.IDEMPOTENT
                || neverRan()) { // harmless to ask again
            double advice = Math.min(router.deployment.longestAdvice(), Replica.BACKOFF * router.latencyGoal);
            router.host.decline(id, router.deployment.mayAdvise() ? advice : 0);
        } else {
            router.host.giveUp(id);
        }
        end();
    }

    private void end() {
        ended = true;
        router.live.remove(this);
        router.held.remove(this);
    }
}
