package pinewick.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A fake host with a manual clock, which records the calls of the scheduler. */
final class FakeHost implements SchedulerHost {
    double clock = 100;
    final List<String> calls = new ArrayList<>();
    SchedulerHost.RetrySafety retrySafety = SchedulerHost.RetrySafety.IDEMPOTENT;
    SchedulerHost.SchedulingRules rules =
            new SchedulerHost.SchedulingRules(0.5, 0.25, 10, 2, 1.5, Double.POSITIVE_INFINITY, 0, 0, 10);
    boolean mustSubscribe;
    boolean concurrentAttempts = true;
    boolean probing;
    boolean clientsMarkRetries;
    double lateValue = 0.3;
    double minShare = 1;
    double callOverheadSeconds;
    int routers = 2;
    int cells = 1;
    int cellsPerShard = 1;
    long seed = 7;
    double longestTimeoutSeconds;
    double retryAfterSeconds;
    final Map<String, Double> peerLatencies = new HashMap<>();
    final Map<String, Double> peerWarnedAt = new HashMap<>();
    QueryScheduler scheduler;

    /** Creates a router with one cell of replicas that all hold every shard. */
    FakeHost open(String... names) {
        SchedulerHost.ServiceClassConfig serviceClass =
                new SchedulerHost.ServiceClassConfig("any", 2, 0, 8, 1, lateValue, retrySafety, 3, minShare, 1, 0.9, 0);
        SchedulerHost.ServiceClassConfig highValue = new SchedulerHost.ServiceClassConfig(
                "rich", 2, 0, 8, 10, 0, SchedulerHost.RetrySafety.IDEMPOTENT, 0, 1, 1, 0, 0);
        scheduler = new QueryScheduler(
                this,
                new SchedulerHost.Deployment(
                        routers,
                        "near",
                        0.005,
                        List.of(serviceClass, highValue),
                        rules,
                        mustSubscribe,
                        probing,
                        true,
                        concurrentAttempts,
                        true,
                        clientsMarkRetries,
                        1,
                        4,
                        cells,
                        cellsPerShard,
                        callOverheadSeconds > 0 ? 16 : 1,
                        callOverheadSeconds),
                new SplittableRandom(seed));
        list(SchedulerHost.ListUpdateKind.CACHED, SchedulerHost.LifecycleState.READY, 0, names);
        return this;
    }

    /** A load report with only a queue length. */
    static SchedulerHost.LoadReport queued(double requests) {
        return new SchedulerHost.LoadReport(requests, Double.NaN, Double.NaN, Double.NaN);
    }

    void list(
            SchedulerHost.ListUpdateKind form, SchedulerHost.LifecycleState state, double startedAt, String... names) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(new SchedulerHost.ReplicaEntry(name, 0, "near", state, startedAt));
        }
        scheduler.onReplicaListUpdate(form, entries);
    }

    /** Applies a discovery update for one replica, alone in its cell. */
    void listAt(String name, int cell) {
        scheduler.onReplicaListUpdate(
                SchedulerHost.ListUpdateKind.INCREMENTAL,
                List.of(new SchedulerHost.ReplicaEntry(name, cell, "near", SchedulerHost.LifecycleState.READY, 0)));
    }

    /** Submits a query of so many shard requests, named q-0, q-1, ..., and ends the batch. */
    Query submit(String query, int requests) {
        return submit(query, requests, 8);
    }

    Query submit(String query, int requests, double ttl) {
        Query taken = scheduler.submit(query, 0, ttl, requests, 0, false);
        for (int request = 0; request < requests; request++) {
            taken.addShardRequest(query + "-" + request, request, 1.0 / requests);
        }
        scheduler.onBatchEnd();
        return taken;
    }

    /** Advances the clock and fires the periodic timer. */
    void pass(double seconds) {
        double end = clock + seconds;
        while (clock < end) {
            clock += 0.02;
            scheduler.onTimer(0);
            scheduler.onBatchEnd();
        }
    }

    void endAttempt(Query query, String request, int number, Outcome outcome, double elapsedSeconds) {
        query.onAttemptEnd(request, number, outcome, elapsedSeconds, null);
        scheduler.onBatchEnd();
    }

    /** Runs single-request queries one after another, so that the scheduler has latency samples. */
    void warmUp(int queries, double elapsedSeconds) {
        for (int each = 0; each < queries; each++) {
            Query query = submit("w" + clock + "-" + each, 1);
            clock += elapsedSeconds;
            endAttempt(query, "w" + (clock - elapsedSeconds) + "-" + each + "-0", 0, Outcome.FULFILLED, elapsedSeconds);
        }
        calls.clear();
    }

    long count(String start) {
        return calls.stream().filter(line -> line.startsWith(start)).count();
    }

    /** The replica of the latest attempt of a shard request; null if there is none. */
    String lastReplica(String request) {
        String last = null;
        for (String line : calls) {
            if (line.startsWith("sendAttempt " + request + " ")) {
                last = line.substring(line.lastIndexOf(' ') + 1);
            }
        }
        return last;
    }

    @Override
    public double now() {
        return clock;
    }

    @Override
    public void sendAttempt(String request, String replica, double timeoutSeconds) {
        longestTimeoutSeconds = Math.max(longestTimeoutSeconds, timeoutSeconds);
        calls.add("sendAttempt " + request + " " + replica);
    }

    @Override
    public void mergeResults(String query, boolean complete) {
        calls.add("mergeResults " + query + (complete ? " complete" : " partial"));
    }

    @Override
    public void rejectQuery(String query, double retryAfter) {
        retryAfterSeconds = retryAfter;
        calls.add("rejectQuery " + query);
    }

    @Override
    public void failQuery(String query) {
        calls.add("failQuery " + query);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        calls.add("cancelAttempt " + request + " " + attempt);
    }

    @Override
    public void sendProbe(String replica) {
        calls.add("sendProbe " + replica);
    }

    @Override
    public void scheduleTimer(double delaySeconds, long timerId) {
        calls.add("scheduleTimer " + timerId + " in " + delaySeconds);
    }

    @Override
    public void watchReplicas(boolean enabled) {
        calls.add("watchReplicas");
    }

    @Override
    public double peerLatency(String replica) {
        return peerLatencies.getOrDefault(replica, 0.0);
    }

    @Override
    public boolean peersReportFailure(String replica, double since) {
        return peerWarnedAt.getOrDefault(replica, Double.NEGATIVE_INFINITY) > since;
    }

    @Override
    public void log(String text) {
        calls.add("log " + text);
    }
}
