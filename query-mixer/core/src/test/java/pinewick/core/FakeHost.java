package pinewick.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A host whose clock the story moves and which writes down what it was asked for. */
final class FakeHost implements SchedulerHost {
    double clock = 100;
    final List<String> said = new ArrayList<>();
    SchedulerHost.RetrySafety repeat = SchedulerHost.RetrySafety.IDEMPOTENT;
    SchedulerHost.SchedulingRules rules =
            new SchedulerHost.SchedulingRules(0.5, 0.25, 10, 2, 1.5, Double.POSITIVE_INFINITY, 0, 0, 10);
    boolean mustAsk;
    boolean overlap = true;
    boolean probing;
    boolean marksRetries;
    double lateValue = 0.3;
    double leastShare = 1;
    double callWork;
    int mixers = 2;
    int cells = 1;
    int reach = 1;
    long seed = 7;
    double longestWait;
    double advice;
    final Map<String, Double> othersPaces = new HashMap<>();
    final Map<String, Double> warned = new HashMap<>();
    QueryScheduler logic;

    /** A mixer over one cell of searchers a, b, ... that all hold every shard. */
    FakeHost open(String... names) {
        SchedulerHost.ServiceClassConfig grade =
                new SchedulerHost.ServiceClassConfig("any", 2, 0, 8, 1, lateValue, repeat, 3, leastShare, 1, 0.9, 0);
        SchedulerHost.ServiceClassConfig rich = new SchedulerHost.ServiceClassConfig(
                "rich", 2, 0, 8, 10, 0, SchedulerHost.RetrySafety.IDEMPOTENT, 0, 1, 1, 0, 0);
        logic = new QueryScheduler(
                this,
                new SchedulerHost.Deployment(
                        mixers,
                        "near",
                        0.005,
                        List.of(grade, rich),
                        rules,
                        mustAsk,
                        probing,
                        true,
                        overlap,
                        true,
                        marksRetries,
                        1,
                        4,
                        cells,
                        reach,
                        callWork > 0 ? 16 : 1,
                        callWork),
                new SplittableRandom(seed));
        list(SchedulerHost.ListUpdateKind.CACHED, SchedulerHost.LifecycleState.READY, 0, names);
        return this;
    }

    /** A load report of nothing but a queue. */
    static SchedulerHost.LoadReport queued(double parts) {
        return new SchedulerHost.LoadReport(parts, Double.NaN, Double.NaN, Double.NaN);
    }

    void list(
            SchedulerHost.ListUpdateKind form, SchedulerHost.LifecycleState stage, double startedAt, String... names) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(new SchedulerHost.ReplicaEntry(name, 0, "near", stage, startedAt));
        }
        logic.list(form, entries);
    }

    /** News of one searcher, alone in its cell. */
    void listAt(String name, int cell) {
        logic.list(
                SchedulerHost.ListUpdateKind.CHANGES,
                List.of(new SchedulerHost.ReplicaEntry(name, cell, "near", SchedulerHost.LifecycleState.READY, 0)));
    }

    /** Takes a query of so many parts, named q-0, q-1, ..., and ends the batch. */
    Query take(String query, int parts) {
        return take(query, parts, 8);
    }

    Query take(String query, int parts, double ttl) {
        Query taken = logic.take(query, 0, ttl, parts, 0, false);
        for (int part = 0; part < parts; part++) {
            taken.part(query + "-" + part, part, 1.0 / parts);
        }
        logic.endOfBatch();
        return taken;
    }

    /** Lets time pass with the timer ringing as it was asked to. */
    void pass(double seconds) {
        double end = clock + seconds;
        while (clock < end) {
            clock += 0.02;
            logic.timerFired(0);
            logic.endOfBatch();
        }
    }

    void ends(Query query, String part, int number, Outcome ending, double took) {
        query.settled(part, number, ending, took, null);
        logic.endOfBatch();
    }

    /** Answers one lone query of the searcher's, so that the module has heard it. */
    void warmUp(int queries, double took) {
        for (int each = 0; each < queries; each++) {
            Query query = take("w" + clock + "-" + each, 1);
            clock += took;
            ends(query, "w" + (clock - took) + "-" + each + "-0", 0, Outcome.FULFILLED, took);
        }
        said.clear();
    }

    long count(String start) {
        return said.stream().filter(line -> line.startsWith(start)).count();
    }

    /** Where a part's latest launch went. */
    String where(String part) {
        String last = null;
        for (String line : said) {
            if (line.startsWith("launch " + part + " ")) {
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
    public void launch(String part, String searcher, double maxWait) {
        longestWait = Math.max(longestWait, maxWait);
        said.add("launch " + part + " " + searcher);
    }

    @Override
    public void assemble(String query, boolean whole) {
        said.add("assemble " + query + (whole ? " whole" : " part"));
    }

    @Override
    public void decline(String query, double retryAfter) {
        advice = retryAfter;
        said.add("decline " + query);
    }

    @Override
    public void giveUp(String query) {
        said.add("give up " + query);
    }

    @Override
    public void cancel(String part, int launch) {
        said.add("cancel " + part + " " + launch);
    }

    @Override
    public void probe(String searcher) {
        said.add("probe " + searcher);
    }

    @Override
    public void timer(double in, long name) {
        said.add("timer " + name + " in " + in);
    }

    @Override
    public void track(boolean on) {
        said.add("track");
    }

    @Override
    public double othersPace(String searcher) {
        return othersPaces.getOrDefault(searcher, 0.0);
    }

    @Override
    public boolean othersWarn(String searcher, double since) {
        return warned.getOrDefault(searcher, Double.NEGATIVE_INFINITY) > since;
    }

    @Override
    public void log(String text) {
        said.add("log " + text);
    }
}
