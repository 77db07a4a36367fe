package pinewick.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The state of a query: its shard requests and progress; {@link Query} decides what follows. */
class QueryState {
    final String id;
    final ServiceClass serviceClass;
    final double admittedAt;
    final Map<String, ShardRequest> requests = new LinkedHashMap<>();
    /** Shard requests not added yet. */
    int missingRequests;
    /** Attempts without an outcome yet. */
    int outstanding;
    /** Shard requests answered, and those that can no longer be answered; each with its weight. */
    int answered;

    double answeredWeight;
    int exhausted;
    double lostWeight;
    /** Connections lost during attempts of this query. */
    int lostConnections;
    /** 1, or 2 in the second of two phases. */
    int phase = 1;

    double startedAt = Double.NEGATIVE_INFINITY;
    /** The earliest time to probe its holders again. */
    double probeAgainAt;

    double valuePerWork;
    /** Whether one shard request was sent first as a canary and its answer is outstanding. */
    boolean canary;

    boolean ended;

    QueryState(String id, ServiceClass serviceClass, int missingRequests, double admittedAt) {
        this.id = id;
        this.serviceClass = serviceClass;
        this.missingRequests = missingRequests;
        this.admittedAt = admittedAt;
    }

    /** Whether it has ended and no attempt is outstanding. */
    public boolean isFinished() {
        return ended && outstanding == 0;
    }

    boolean started() {
        return startedAt > Double.NEGATIVE_INFINITY;
    }

    long overdueRequests(double now) {
        long overdue = 0;
        for (ShardRequest request : requests.values()) {
            overdue += request.overdue(now) ? 1 : 0;
        }
        return overdue;
    }

    /** The shard requests without an attempt, grouped by shard, or by holders. */
    List<List<ShardRequest>> unsent(boolean groupByHolders) {
        Map<Integer, List<ShardRequest>> groups = new LinkedHashMap<>();
        for (ShardRequest request : requests.values()) {
            if (request.unsent()) {
                int key = groupByHolders ? request.firstCell : request.shard;
                groups.computeIfAbsent(key, any -> new ArrayList<>()).add(request);
            }
        }
        return new ArrayList<>(groups.values());
    }

    /** The total weight of the shard requests that match a condition. */
    double weightOf(Predicate<ShardRequest> condition) {
        double weight = 0;
        for (ShardRequest request : requests.values()) {
            weight += condition.test(request) ? request.weight : 0;
        }
        return weight;
    }

    /** Whether none of its attempts can have had an effect. */
    boolean neverRan() {
        return requests.values().stream()
                .allMatch(request -> request.attempts.stream().allMatch(attempt -> attempt.neverRan));
    }

    /** Records the outcome of an attempt; null if there was no such attempt or it already had an outcome. */
    Attempt finishAttempt(ShardRequest request, int number, SchedulerHost.Outcome outcome) {
        Attempt attempt = request == null ? null : request.attempt(number);
        if (attempt == null || attempt.finished) {
            return null;
        }
        attempt.finished = true;
        attempt.neverRan = outcome.neverRan();
        attempt.replica.outstanding.remove(attempt);
        request.outstanding--;
        outstanding--;
        return attempt;
    }

    void answered(ShardRequest request) {
        request.done = true;
        answered++;
        answeredWeight += request.weight;
    }

    void markExhausted(ShardRequest request) {
        request.exhausted = true;
        exhausted++;
        lostWeight += request.weight;
    }

    /** Whether every shard request is answered or can no longer be. */
    boolean allResolved() {
        return answered + exhausted == requests.size();
    }

    /** Starts the second phase, with so many shard requests. */
    void startSecondPhase(int requestCount) {
        phase = 2;
        missingRequests = requestCount;
        startedAt = Double.NEGATIVE_INFINITY;
    }
}
