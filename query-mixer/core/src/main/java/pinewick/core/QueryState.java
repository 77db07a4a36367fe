package pinewick.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What is known of a query: its parts, and how far it is; what follows from that is decided in {@link Query}. */
class QueryState {
    final String id;
    final ServiceClass grade;
    final double takenAt;
    final Map<String, ShardRequest> parts = new LinkedHashMap<>();
    /** Parts not handed in yet. */
    int awaited;
    /** Launches without an outcome yet. */
    int outstanding;
    /** Parts answered, and parts of which no answer can come any more; with the weight of each. */
    int answered;

    double weightIn;
    int exhausted;
    double weightLost;
    /** Connections lost under launches of this query. */
    int crashes;
    /** 2 for the second of two steps. */
    int step = 1;

    double startedAt = Double.NEGATIVE_INFINITY;
    /** From when on its holders may be probed again. */
    double probeAgainAt;

    double valueForWork;
    /** Whether one part was sent first and its answer is awaited. */
    boolean canary;

    boolean ended;

    QueryState(String id, ServiceClass grade, int awaited, double takenAt) {
        this.id = id;
        this.grade = grade;
        this.awaited = awaited;
        this.takenAt = takenAt;
    }

    /** Whether nothing more can be told of it. */
    public boolean over() {
        return ended && outstanding == 0;
    }

    boolean started() {
        return startedAt > Double.NEGATIVE_INFINITY;
    }

    long overdueParts(double now) {
        long overdue = 0;
        for (ShardRequest part : parts.values()) {
            overdue += part.overdue(now) ? 1 : 0;
        }
        return overdue;
    }

    /** The parts that wait for their first launch, those of one shard together, or all with the same holders. */
    List<List<ShardRequest>> unlaunched(boolean sameHoldersTogether) {
        Map<Integer, List<ShardRequest>> groups = new LinkedHashMap<>();
        for (ShardRequest part : parts.values()) {
            if (part.unlaunched()) {
                int key = sameHoldersTogether ? part.firstCell : part.shard;
                groups.computeIfAbsent(key, any -> new ArrayList<>()).add(part);
            }
        }
        return new ArrayList<>(groups.values());
    }

    /** The weight of all parts for which something holds. */
    double weightOf(Predicate<ShardRequest> condition) {
        double weight = 0;
        for (ShardRequest part : parts.values()) {
            weight += condition.test(part) ? part.weight : 0;
        }
        return weight;
    }

    /** Whether no launch of it could have had an effect. */
    boolean neverRan() {
        return parts.values().stream().allMatch(part -> part.launches.stream().allMatch(launch -> launch.neverRan));
    }

    /** Notes a launch's outcome; null where there was no such launch or it had one. */
    Attempt settle(ShardRequest part, int number, SchedulerHost.Outcome ending) {
        Attempt launch = part == null ? null : part.launch(number);
        if (launch == null || launch.over) {
            return null;
        }
        launch.over = true;
        launch.neverRan = ending.neverRan();
        launch.replica.outstanding.remove(launch);
        part.outstanding--;
        outstanding--;
        return launch;
    }

    void answered(ShardRequest part) {
        part.done = true;
        answered++;
        weightIn += part.weight;
    }

    void lost(ShardRequest part) {
        part.exhausted = true;
        exhausted++;
        weightLost += part.weight;
    }

    /** Whether every part is answered or can't be any more. */
    boolean nothingAwaited() {
        return answered + exhausted == parts.size();
    }

    /** Begins the second step, of so many parts. */
    void nextStep(int ofParts) {
        step = 2;
        awaited = ofParts;
        startedAt = Double.NEGATIVE_INFINITY;
    }
}
