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

/** One simulated mixer: passes events to its own {@link QueryScheduler} and writes what the scheduler requests. */
final class SimulatedMixer implements SchedulerHost {
    private final int mixerId;
    private final QueryScheduler scheduler;
    private final SchedulerHost.Deployment deployment;
    private final Map<String, Integer> serviceClassIndexes = new HashMap<>();
    private final Map<Long, Query> byJob = new HashMap<>();
    private final Map<String, Query> byId = new HashMap<>();
    private final Map<Query, QueryIds> idsByQuery = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final List<String> endedQueries = new ArrayList<>();
    private long timeNs;
    private boolean hasFailed;

    /** Identifiers of a query in the protocol: its job number, and the ids of the query and its parts. */
    private record QueryIds(long job, List<String> ids) {}

    SimulatedMixer(int mixerId, long timeNs, ProtocolLine opening) {
        this.mixerId = mixerId;
        this.timeNs = timeNs;
        deployment = DeploymentParser.parse(opening.text("config"));
        for (SchedulerHost.ServiceClassConfig serviceClass : deployment.serviceClasses()) {
            serviceClassIndexes.put(serviceClass.name(), serviceClassIndexes.size());
        }
        scheduler = new QueryScheduler(this, deployment, new SplittableRandom(opening.longValue("rng-seed", 0)));
    }

    void handleEvent(ProtocolLine event, long batchTimeNs, List<ReplicaEntry> entries) {
        timeNs = batchTimeNs;
        if (hasFailed) {
            return;
        }
        try {
            dispatch(event, entries);
        } catch (IllegalArgumentException malformed) {
            throw malformed;
        } catch (RuntimeException fault) {
            onFault(fault);
        }
    }

    void onBatchEnd() {
        if (hasFailed) {
            return;
        }
        try {
            scheduler.onBatchEnd();
            endedQueries.forEach(id -> {
                if (byId.containsKey(id)) {
                    removeIfFinished(byId.get(id));
                }
            });
            endedQueries.clear();
        } catch (RuntimeException fault) {
            onFault(fault);
        }
    }

    private void onFault(RuntimeException fault) {
        hasFailed = true;
        StackTraceElement[] trace = fault.getStackTrace();
        write("fault")
                .append(" text=")
                .append(fault.toString().replaceAll("\\s+", " "))
                .append(trace.length > 0 ? " at " + trace[0] : "")
                .append('\n');
    }

    void writeReplyTo(Writer out) throws IOException {
        out.append(reply);
        reply.setLength(0);
    }

    private void dispatch(ProtocolLine event, List<ReplicaEntry> entries) {
        switch (event.verb()) {
            case "discovery" -> scheduler.onReplicaListUpdate(
                    switch ((int) event.longValue("form")) {
                        case 0 -> ListUpdateKind.INCREMENTAL;
                        case 1 -> ListUpdateKind.FULL;
                        case 2 -> ListUpdateKind.CACHED;
                        default -> ListUpdateKind.FAILED;
                    },
                    entries);
            case "req" -> handleRequest(event);
            case "settled" -> {
                Query query = byId.get(event.text("call"));
                if (query != null) {
                    query.onAttemptEnd(
                            event.text("call"),
                            (int) event.longValue("go"),
                            outcome(event),
                            event.seconds("spent-ns", 0),
                            report(event));
                    removeIfFinished(query);
                }
            }
            case "withdrawn" -> {
                Query query = byId.get(event.text("call"));
                if (query != null) {
                    query.onCancelled(event.text("call"));
                    removeIfFinished(query);
                }
            }
            case "probe_done" -> scheduler.onProbeResult(event.text("searcher"), outcome(event), report(event));
            case "ring" -> scheduler.onTimer(event.longValue("name"));
            default -> {
                // Events that a mixer ignores: messages from peers, streams (no service class uses them).
            }
        }
    }

    private void handleRequest(ProtocolLine event) {
        String id = event.text("call");
        long job = event.longValue("job-no", 0);
        if (event.longValue("segment-no", -1) < 0) {
            Integer serviceClassIndex = serviceClassIndexes.get(event.text("priority"));
            if (serviceClassIndex == null) {
                throw new IllegalArgumentException("unknown priority " + event.text("priority"));
            }
            Query query = scheduler.submit(
                    id,
                    serviceClassIndex,
                    event.seconds("ttl-ns", 0),
                    (int) event.number("share-or-count", 1),
                    event.seconds("work-hint-ns", 0),
                    event.longValue("again-by-client", 0) == 1);
            byId.put(id, query);
            byJob.put(job, query);
            idsByQuery.put(query, new QueryIds(job, new ArrayList<>(List.of(id))));
            return;
        }
        Query query = byJob.get(job);
        if (query != null) {
            byId.put(id, query);
            idsByQuery.get(query).ids().add(id);
            query.addShardRequest(id, (int) event.longValue("segment-no"), event.number("share-or-count", 0));
        }
    }

    /** Removes the ids of a query once no further event can concern it. */
    private void removeIfFinished(Query query) {
        if (query.isFinished()) {
            QueryIds ids = idsByQuery.remove(query);
            ids.ids().forEach(byId::remove);
            byJob.remove(ids.job(), query);
        }
    }

    private static Outcome outcome(ProtocolLine event) {
        return switch ((int) event.longValue("outcome")) {
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
        return reply.append(verb).append(" mixer=").append(mixerId);
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }

    @Override
    public double now() {
        return timeNs / 1e9;
    }

    @Override
    public void sendAttempt(String part, String replicaId, double maxWait) {
        write("issue")
                .append(" call=")
                .append(part)
                .append(" searcher=")
                .append(replicaId)
                .append(" max-wait-ns=")
                .append(nanos(maxWait))
                .append('\n');
    }

    @Override
    public void mergeResults(String query, boolean isComplete) {
        endedQueries.add(query);
        write("assemble")
                .append(" call=")
                .append(query)
                .append(" complete=")
                .append(isComplete ? 1 : 0)
                .append('\n');
    }

    @Override
    public void rejectQuery(String query, double retryAfter) {
        endedQueries.add(query);
        write("not_now").append(" call=").append(query);
        if (retryAfter > 0) {
            reply.append(" retry-after-ns=").append(nanos(retryAfter));
        }
        reply.append('\n');
    }

    @Override
    public void failQuery(String query) {
        endedQueries.add(query);
        write("drop_request").append(" call=").append(query).append('\n');
    }

    @Override
    public void cancelAttempt(String part, int attempt) {
        write("undo_send")
                .append(" call=")
                .append(part)
                .append(" go=")
                .append(attempt)
                .append('\n');
    }

    @Override
    public void sendProbe(String replicaId) {
        write("test").append(" searcher=").append(replicaId).append('\n');
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
