package pinewick.pipeline;

import java.util.List;
import java.util.SplittableRandom;
import pinewick.core.QueryScheduler;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Log;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Third stage: passes events to the scheduler and carries out its requests. It makes no decisions itself. */
public final class QueryRouter implements SchedulerHost {
    private final EventLoop loop;
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
            EventLoop loop,
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

    /** Observations shared with the other routers; the default shares and knows nothing. */
    public interface PeerObservations {
        /** Records what this router measured of a replica. */
        default void recordMeasurement(
                String replicaId, double latencySeconds, double queueLength, int consecutiveFailures) {}

        /** The latency that the other routers measured; 0 if unknown. */
        default double latencySeconds(String replicaId) {
            return 0;
        }

        /** Whether other routers saw the replica fail or leave after this time, in seconds since 1970. */
        default boolean reportsFailure(String replicaId, double since) {
            return false;
        }
    }

    public void setPeerObservations(PeerObservations observations) {
        peerObservations = observations;
    }

    /** Submits an admitted query to the scheduler; if that throws, the query fails and the exception is rethrown. */
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
            // Whatever failed in the scheduler, the client gets its one response.
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

    /** Updates the number of live routers, and the upper bound of those that may be sending. */
    public void updateRouterCount(int count, int sending) {
        scheduler.updateRouterCount(count, sending);
    }

    /** Stops the timers: this scheduler is no longer in use. */
    public void stop() {
        stopped = true;
    }

    /** Runs the scheduler's work at the end of a batch of events and sends its attempts. */
    public void onBatchEnd() {
        loop.guarded("scheduling at the end of a batch", scheduler::onBatchEnd);
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
        responses.sendResult(queries.query(queryId), complete);
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
            loop.after(delaySeconds, "a scheduler timer", () -> {
                if (!stopped) {
                    scheduler.onTimer(timerId);
                }
            });
        }
    }

    @Override
    public void watchReplicas(boolean enabled) {
        // The list watch is always open or being opened, so there is nothing to do.
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
        log.log(Log.Level.INFO, "decisions", text);
    }
}
