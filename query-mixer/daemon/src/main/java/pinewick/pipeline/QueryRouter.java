package pinewick.pipeline;

import java.util.List;
import java.util.SplittableRandom;
import pinewick.core.QueryScheduler;
import pinewick.core.SchedulerHost;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Third stage: hands events to the decisions and passes on what they ask for. It decides nothing itself. */
public final class QueryRouter implements SchedulerHost {
    private final Loop loop;
    private final Log log;
    private final OpenQueries queries;
    private final Counters counters;
    private final AttemptDispatcher dispatcher;
    private final ResponseSender responses;
    private final QueryScheduler scheduler;
    private PeerObservations peerObservations = new PeerObservations() {};
    private boolean stopped;

    public QueryRouter(
            SchedulerHost.Deployment deployment,
            long seed,
            Loop loop,
            Log log,
            OpenQueries queries,
            Counters counters,
            AttemptDispatcher dispatcher,
            ResponseSender responses) {
        this.loop = loop;
        this.log = log;
        this.queries = queries;
        this.counters = counters;
        this.dispatcher = dispatcher;
        this.responses = responses;
        scheduler = new QueryScheduler(this, deployment, new SplittableRandom(seed));
    }

    /** What the other mixers see; without them, nothing. */
    public interface PeerObservations {
        default void recordMeasurement(
                String replicaId, double latencySeconds, double queueLength, int consecutiveFailures) {}

        default double latencySeconds(String replicaId) {
            return 0;
        }

        default boolean reportsFailure(String replicaId, double since) {
            return false;
        }
    }

    public void setPeerObservations(PeerObservations observations) {
        peerObservations = observations;
    }

    public void submit(OpenQuery query) {
        try {
            query.handle = scheduler.submit(
                    query.id,
                    query.serviceClass,
                    query.timeoutSeconds,
                    query.shardRequests.size(),
                    query.workHint,
                    query.isRetry);
            query.shardRequests
                    .values()
                    .forEach(request -> query.handle.addShardRequest(request.id, request.shard, request.weight));
        } catch (RuntimeException e) {
            // Whatever went wrong inside, the client gets its one answer.
            responses.fail(query);
            if (query.handle == null) {
                queries.remove(query);
            }
            throw e;
        }
    }

    public void onReplicaListUpdate(SchedulerHost.ListUpdateKind kind, List<SchedulerHost.ReplicaEntry> entries) {
        scheduler.onReplicaListUpdate(kind, entries);
    }

    public void onProbeResult(String replicaId, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        scheduler.onProbeResult(replicaId, outcome, report);
    }

    /** So many mixers live from now on, and so many may be sending at most. */
    public void updateRouterCount(int count, int sending) {
        scheduler.updateRouterCount(count, sending);
    }

    /** No more timers: these decisions are done with. */
    public void stop() {
        stopped = true;
    }

    public void onBatchEnd() {
        loop.guarded("deciding at a batch's end", scheduler::onBatchEnd);
        dispatcher.flush();
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void sendAttempt(String requestId, String replicaId, double timeoutSeconds) {
        OpenQuery.ShardRequest request = queries.shardRequest(requestId);
        InFlightAttempt inFlight =
                new InFlightAttempt(request, request.attempts.size(), replicaId, now(), now() + timeoutSeconds);
        request.attempts.add(inFlight);
        dispatcher.enqueue(inFlight);
    }

    @Override
    public void mergeResults(String queryId, boolean complete) {
        responses.complete(queries.query(queryId), complete);
    }

    @Override
    public void rejectQuery(String queryId, double retryAfterSeconds) {
        responses.reject(queries.query(queryId), retryAfterSeconds);
    }

    @Override
    public void failQuery(String queryId) {
        responses.fail(queries.query(queryId));
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        dispatcher.cancel(queries.shardRequest(requestId).attempts.get(attempt));
    }

    @Override
    public void sendProbe(String replicaId) {
        dispatcher.sendProbe(replicaId);
    }

    @Override
    public void scheduleTimer(double delaySeconds, long timerId) {
        if (!stopped) {
            loop.after(delaySeconds, "a timer", () -> {
                if (!stopped) {
                    scheduler.onTimer(timerId);
                }
            });
        }
    }

    @Override
    public void watchReplicas(boolean enabled) {
        // The watch is always open or about to be; asking starts nothing more.
        counters.add("asked-to-track");
    }

    @Override
    public void onReplicaMeasured(
            String replicaId, double latencySeconds, double queueLength, int consecutiveFailures) {
        peerObservations.recordMeasurement(replicaId, latencySeconds, queueLength, consecutiveFailures);
    }

    @Override
    public double peerLatency(String replicaId) {
        return peerObservations.latencySeconds(replicaId);
    }

    @Override
    public boolean peersReportFailure(String replicaId, double since) {
        return peerObservations.reportsFailure(replicaId, since);
    }

    @Override
    public void log(String text) {
        log.say(Log.Level.INFO, "decisions", text);
    }
}
