package pinewick.pipeline;

import java.nio.charset.StandardCharsets;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.protocol.QueryJson;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Fifth stage: sends the one final response to a client; nothing is sent for the query after it. */
public final class ResponseSender {
    private static final int STATUS_COMPLETED = 200;
    private static final int STATUS_REJECTED = 503;
    private static final int STATUS_FAILED = 500;

    private final EventLoop loop;
    private final OpenQueries queries;
    private final Counters counters;
    private final AttemptDispatcher dispatcher;

    public ResponseSender(EventLoop loop, OpenQueries queries, Counters counters, AttemptDispatcher dispatcher) {
        this.loop = loop;
        this.queries = queries;
        this.counters = counters;
        this.dispatcher = dispatcher;
    }

    /** Sends the results that have arrived; {@code complete} says whether those are all. */
    public void sendResult(OpenQuery query, boolean complete) {
        if (tryEnd(query, complete ? "fulfilled-whole" : "fulfilled-part")) {
            respond(query, STATUS_COMPLETED, 0, QueryJson.encodeResponse(query, complete));
        }
    }

    /** Rejects a query, safe to retry; {@code retryAfter} is in seconds, 0 gives no advice. */
    public void reject(OpenQuery query, double retryAfter) {
        if (tryEnd(query, "declined")) {
            respond(query, STATUS_REJECTED, retryAfter, line("declined"));
        }
    }

    /** Fails a query whose effects are possible. */
    public void fail(OpenQuery query) {
        if (tryEnd(query, "given-up")) {
            respond(query, STATUS_FAILED, 0, line("given up"));
        }
    }

    /** Rejects a query that was never admitted; it is safe to retry. {@code retryAfter} is in seconds. */
    public void rejectUnadmitted(OpenQuery query, double retryAfter) {
        query.ended = true;
        respond(query, STATUS_REJECTED, retryAfter, line("full"));
    }

    /** Ends a query whose client has left: without a response, and nothing more is sent for it. */
    public void onClientLeft(OpenQuery query) {
        tryEnd(query, "withdrawn");
    }

    /** Guarded, so that a client's broken connection does not throw into the scheduler's work. */
    private void respond(OpenQuery query, int status, double retryAfter, byte[] body) {
        loop.guarded("answering", () -> query.client.respond(status, retryAfter, body));
    }

    /** Ends a query and withdraws its unwritten attempts; false if it is null or has already ended. */
    private boolean tryEnd(OpenQuery query, String counter) {
        if (query == null || query.ended) {
            return false;
        }
        queries.onEnded(query);
        counters.add(counter);
        // A query without attempts in flight gets no further event when it ends, and would be kept forever. The
        // scheduler has finished with it only after it returns, so this runs in a later event.
        loop.later("removing an ended query", () -> {
            if (query.handle == null || query.handle.isFinished()) {
                queries.remove(query);
            }
        });
        for (OpenQuery.ShardRequest request : query.shardRequests.values()) {
            for (InFlightAttempt attempt : request.attempts) {
                dispatcher.withdraw(attempt, SchedulerHost.Outcome.MOOT);
            }
        }
        return true;
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.US_ASCII);
    }
}
