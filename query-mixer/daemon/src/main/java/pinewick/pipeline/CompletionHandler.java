package pinewick.pipeline;

import java.util.List;
import java.util.Locale;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Log;
import pinewick.protocol.TcpReplicaConnection;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaDirectory;

/** Last stage: records the outcomes of attempts, probes and queries, and reports them to the scheduler. */
public final class CompletionHandler implements TcpReplicaConnection.Listener {
    private final EventLoop loop;
    private final Log log;
    private final OpenQueries queries;
    private final Counters counters;
    private final ReplicaDirectory replicas;
    private final AttemptDispatcher dispatcher;
    private final ResponseSender responses;
    private QueryRouter router;

    public CompletionHandler(
            EventLoop loop,
            Log log,
            OpenQueries queries,
            Counters counters,
            ReplicaDirectory replicas,
            AttemptDispatcher dispatcher,
            ResponseSender responses) {
        this.loop = loop;
        this.log = log;
        this.queries = queries;
        this.counters = counters;
        this.replicas = replicas;
        this.dispatcher = dispatcher;
        this.responses = responses;
    }

    /** Sets the stage that passes events to the scheduler; set once before the first event. */
    public void setRouter(QueryRouter queryRouter) {
        router = queryRouter;
    }

    /** Handles the end of an attempt; calls after the first have no effect. The report may be null. */
    void onAttemptEnded(InFlightAttempt attempt, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.neverRan = outcome.neverRan();
        if (attempt.timer != null) {
            attempt.timer.remove();
        }
        if (attempt.call != null) {
            attempt.call.connection.onAttemptEnded(attempt);
        }
        counters.add("ended-" + outcome.name().toLowerCase(Locale.ROOT));
        OpenQuery query = attempt.shardRequest.query;
        try {
            query.handle.onAttemptEnd(
                    attempt.shardRequest.id, attempt.number, outcome, loop.now() - attempt.sentAt, report);
        } catch (RuntimeException e) {
            responses.fail(query);
            throw e;
        } finally {
            removeIfFinished(query);
        }
    }

    /** Handles a client that has closed its connection. */
    void onClientLeft(OpenQuery query) {
        responses.onClientLeft(query);
        if (query.handle != null) {
            query.handle.onCancelled(query.id);
            removeIfFinished(query);
        }
    }

    private void removeIfFinished(OpenQuery query) {
        if (query.handle.isFinished()) {
            queries.remove(query);
        }
    }

    void onProbeEnded(String replicaId, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        counters.add("probe-" + outcome.name().toLowerCase(Locale.ROOT));
        router.onProbeResult(replicaId, outcome, report);
    }

    @Override
    public void onResponse(InFlightAttempt attempt, char status, SchedulerHost.LoadReport report, byte[] result) {
        if (status == 'S' && attempt.shardRequest.result == null) {
            attempt.shardRequest.result = result;
        }
        onAttemptEnded(
                attempt,
                switch (status) {
                    case 'S' -> SchedulerHost.Outcome.FULFILLED;
                    case 'B' -> SchedulerHost.Outcome.REJECTED;
                    default -> SchedulerHost.Outcome.ERROR;
                },
                report);
    }

    @Override
    public void onProbeResult(String replicaId, long probeNumber, boolean succeeded, SchedulerHost.LoadReport report) {
        dispatcher.onProbeEnded(
                probeNumber, succeeded ? SchedulerHost.Outcome.FULFILLED : SchedulerHost.Outcome.ERROR, report);
    }

    @Override
    public void onInvalidFrame(TcpReplicaConnection connection, String reason, InFlightAttempt attempt) {
        counters.add("spoilt-answers");
        connection.unwrittenAttempts().forEach(each -> dispatcher.withdraw(each, SchedulerHost.Outcome.MOOT));
        log.log(
                Log.Level.WARNING,
                "searchers",
                "spoilt by " + connection.replicaId() + ": " + reason
                        + (attempt == null ? "" : ", ends " + attempt.shardRequest.id),
                "searcher",
                connection.replicaId());
        if (attempt != null) {
            onAttemptEnded(attempt, SchedulerHost.Outcome.ERROR, null);
        }
    }

    @Override
    public boolean canStartWrite(InFlightAttempt attempt) {
        return dispatcher.mayStart(attempt);
    }

    @Override
    public void onUnsent(List<InFlightAttempt> attempts) {
        attempts.forEach(each ->
                loop.guarded("ending an unsent attempt", () -> onAttemptEnded(each, SchedulerHost.Outcome.MOOT, null)));
    }

    @Override
    public void onConnectTimeout(TcpReplicaConnection connection, List<InFlightAttempt> attempts) {
        counters.add("connections-late");
        if (!attempts.isEmpty()) {
            log.log(
                    Log.Level.WARNING,
                    "searchers",
                    "connection to " + connection.replicaId() + " is not up in time; not connected " + attempts.size(),
                    "searcher",
                    connection.replicaId());
        }
        attempts.forEach(each -> loop.guarded(
                "ending an attempt without a connection",
                () -> onAttemptEnded(each, SchedulerHost.Outcome.NOT_CONNECTED, null)));
    }

    @Override
    public void onClosed(
            TcpReplicaConnection connection,
            String reason,
            List<InFlightAttempt> neverWritten,
            List<InFlightAttempt> written) {
        replicas.remove(connection);
        counters.add("connections-closed");
        if (!neverWritten.isEmpty() || !written.isEmpty()) {
            log.log(
                    Log.Level.WARNING,
                    "searchers",
                    "connection to " + connection.replicaId() + " closed, " + reason + "; not connected "
                            + neverWritten.size() + ", dropped " + written.size(),
                    "searcher",
                    connection.replicaId());
        }
        neverWritten.forEach(each -> loop.guarded(
                "ending an attempt without a connection",
                () -> onAttemptEnded(each, SchedulerHost.Outcome.NOT_CONNECTED, null)));
        written.forEach(each -> loop.guarded(
                "ending a dropped attempt", () -> onAttemptEnded(each, SchedulerHost.Outcome.DROPPED, null)));
    }
}
