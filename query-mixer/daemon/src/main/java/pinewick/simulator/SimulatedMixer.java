package pinewick.simulator;

import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pinewick.core.DeploymentParser;
import pinewick.core.Query;
import pinewick.core.QueryScheduler;
import pinewick.core.SchedulerHost;

/** One mixer on the wire: hands events to its own {@link QueryScheduler} and writes down what that asks for. */
final class SimulatedMixer implements SchedulerHost {
    private final int number;
    private final QueryScheduler scheduler;
    private final SchedulerHost.Deployment deployment;
    private final Map<String, Integer> gradeRows = new HashMap<>();
    private final Map<Long, Query> byJob = new HashMap<>();
    private final Map<String, Query> byId = new HashMap<>();
    private final Map<Query, Wired> wired = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final List<String> ended = new ArrayList<>();
    private long clock;
    private boolean broken;

    /** Under what a query goes on the wire: its number, and the ids of itself and its parts. */
    private record Wired(long job, List<String> ids) {}

    SimulatedMixer(int number, long clock, ProtocolLine opening) {
        this.number = number;
        this.clock = clock;
        deployment = DeploymentParser.parse(opening.text("config"));
        for (SchedulerHost.ServiceClassConfig grade : deployment.serviceClasses()) {
            gradeRows.put(grade.name(), gradeRows.size());
        }
        scheduler = new QueryScheduler(this, deployment, new SplittableRandom(opening.whole("rng-seed", 0)));
    }

    void event(ProtocolLine event, long batchClock, List<ReplicaEntry> entries) {
        clock = batchClock;
        if (broken) {
            return;
        }
        try {
            dispatch(event, entries);
        } catch (IllegalArgumentException malformed) {
            throw malformed;
        } catch (RuntimeException fault) {
            fault(fault);
        }
    }

    void endOfBatch() {
        if (broken) {
            return;
        }
        try {
            scheduler.onBatchEnd();
            ended.forEach(id -> {
                if (byId.containsKey(id)) {
                    forget(byId.get(id));
                }
            });
            ended.clear();
        } catch (RuntimeException fault) {
            fault(fault);
        }
    }

    private void fault(RuntimeException fault) {
        broken = true;
        StackTraceElement[] trace = fault.getStackTrace();
        write("fault")
                .append(" text=")
                .append(fault.toString().replaceAll("\\s+", " "))
                .append(trace.length > 0 ? " at " + trace[0] : "")
                .append('\n');
    }

    void drainTo(Writer out) throws IOException {
        out.append(reply);
        reply.setLength(0);
    }

    private void dispatch(ProtocolLine event, List<ReplicaEntry> entries) {
        switch (event.verb()) {
            case "discovery" -> scheduler.onReplicaListUpdate(
                    switch ((int) event.whole("form")) {
                        case 0 -> ListUpdateKind.INCREMENTAL;
                        case 1 -> ListUpdateKind.FULL;
                        case 2 -> ListUpdateKind.CACHED;
                        default -> ListUpdateKind.FAILED;
                    },
                    entries);
            case "req" -> request(event);
            case "settled" -> {
                Query query = byId.get(event.text("call"));
                if (query != null) {
                    query.onAttemptEnd(
                            event.text("call"),
                            (int) event.whole("go"),
                            ending(event),
                            event.seconds("spent-ns", 0),
                            report(event));
                    forget(query);
                }
            }
            case "withdrawn" -> {
                Query query = byId.get(event.text("call"));
                if (query != null) {
                    query.onCancelled(event.text("call"));
                    forget(query);
                }
            }
            case "probe_done" -> scheduler.onProbeResult(event.text("searcher"), ending(event), report(event));
            case "ring" -> scheduler.onTimer(event.whole("name"));
            default -> {
                // Nothing that a mixer acts on: messages from peers, streams (no grade has them).
            }
        }
    }

    private void request(ProtocolLine event) {
        String id = event.text("call");
        long job = event.whole("job-no", 0);
        if (event.whole("segment-no", -1) < 0) {
            Integer row = gradeRows.get(event.text("priority"));
            if (row == null) {
                throw new IllegalArgumentException("unknown priority " + event.text("priority"));
            }
            Query query = scheduler.submit(
                    id,
                    row,
                    event.seconds("ttl-ns", 0),
                    (int) event.number("share-or-count", 1),
                    event.seconds("work-hint-ns", 0),
                    event.whole("again-by-client", 0) == 1);
            byId.put(id, query);
            byJob.put(job, query);
            wired.put(query, new Wired(job, new ArrayList<>(List.of(id))));
            return;
        }
        Query query = byJob.get(job);
        if (query != null) {
            byId.put(id, query);
            wired.get(query).ids().add(id);
            query.addShardRequest(id, (int) event.whole("segment-no"), event.number("share-or-count", 0));
        }
    }

    /** Drops the ids of a query of which nothing more can be told. */
    private void forget(Query query) {
        if (query.isFinished()) {
            Wired names = wired.remove(query);
            names.ids().forEach(byId::remove);
            byJob.remove(names.job(), query);
        }
    }

    private static Outcome ending(ProtocolLine event) {
        return switch ((int) event.whole("outcome")) {
            case 0 -> Outcome.FULFILLED;
            case 8 -> Outcome.REJECTED;
            case 4 -> Outcome.TIMED_OUT;
            case 14 -> Outcome.NOT_CONNECTED;
            case 10 -> Outcome.DROPPED;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.MOOT;
            default -> Outcome.ERROR;
        };
    }

    private static LoadReport report(ProtocolLine event) {
        return DeploymentParser.parseLoadReport(event.text("metrics", ""), ':');
    }

    private StringBuilder write(String verb) {
        return reply.append(verb).append(" mixer=").append(number);
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }

    @Override
    public double now() {
        return clock / 1e9;
    }

    @Override
    public void sendAttempt(String part, String searcher, double maxWait) {
        write("issue")
                .append(" call=")
                .append(part)
                .append(" searcher=")
                .append(searcher)
                .append(" max-wait-ns=")
                .append(nanos(maxWait))
                .append('\n');
    }

    @Override
    public void mergeResults(String query, boolean whole) {
        ended.add(query);
        write("assemble")
                .append(" call=")
                .append(query)
                .append(" complete=")
                .append(whole ? 1 : 0)
                .append('\n');
    }

    @Override
    public void rejectQuery(String query, double retryAfter) {
        ended.add(query);
        write("not_now").append(" call=").append(query);
        if (retryAfter > 0) {
            reply.append(" retry-after-ns=").append(nanos(retryAfter));
        }
        reply.append('\n');
    }

    @Override
    public void failQuery(String query) {
        ended.add(query);
        write("drop_request").append(" call=").append(query).append('\n');
    }

    @Override
    public void cancelAttempt(String part, int launch) {
        write("undo_send")
                .append(" call=")
                .append(part)
                .append(" go=")
                .append(launch)
                .append('\n');
    }

    @Override
    public void sendProbe(String searcher) {
        write("test").append(" searcher=").append(searcher).append('\n');
    }

    @Override
    public void scheduleTimer(double in, long name) {
        write("timer")
                .append(" in-ns=")
                .append(nanos(in))
                .append(" name=")
                .append(name)
                .append('\n');
    }

    @Override
    public void watchReplicas(boolean on) {
        write("track").append(" complete=").append(on ? 1 : 0).append('\n');
    }

    @Override
    public void log(String text) {
        write("log").append(" text=").append(text).append('\n');
    }
}
