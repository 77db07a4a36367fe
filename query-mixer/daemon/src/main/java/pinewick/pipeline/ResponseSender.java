package pinewick.pipeline;

import java.nio.charset.StandardCharsets;
import pinewick.core.SchedulerHost;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;
import pinewick.wire.QueryText;

/** Fifth stage: the one final answer to a client, and nothing sent for the query after it. */
public final class ResponseSender {
    private static final int STATUS_COMPLETED = 200;
    private static final int STATUS_REJECTED = 503;
    private static final int STATUS_FAILED = 500;

    private final Loop loop;
    private final OpenQueries queries;
    private final Counters counters;
    private final AttemptDispatcher dispatcher;

    public ResponseSender(Loop loop, OpenQueries queries, Counters counters, AttemptDispatcher dispatcher) {
        this.loop = loop;
        this.queries = queries;
        this.counters = counters;
        this.dispatcher = dispatcher;
    }

    public void complete(OpenQuery query, boolean complete) {
        if (tryEnd(query, complete ? "fulfilled-whole" : "fulfilled-part")) {
            respond(query, STATUS_COMPLETED, 0, QueryText.answer(query, complete));
        }
    }

    public void reject(OpenQuery query, double retryAfter) {
        if (tryEnd(query, "declined")) {
            respond(query, STATUS_REJECTED, retryAfter, line("declined"));
        }
    }

    public void fail(OpenQuery query) {
        if (tryEnd(query, "given-up")) {
            respond(query, STATUS_FAILED, 0, line("given up"));
        }
    }

    /** For a query that was never admitted: harmless to retry. */
    public void rejectUnadmitted(OpenQuery query, double retryAfter) {
        query.ended = true;
        respond(query, STATUS_REJECTED, retryAfter, line("full"));
    }

    /** The client has left: no answer, and nothing more is sent. */
    public void onClientLeft(OpenQuery query) {
        tryEnd(query, "withdrawn");
    }

    /** Danger: a client's broken connection would throw into the midst of a decision. Harm: none. */
    private void respond(OpenQuery query, int status, double retryAfter, byte[] body) {
        loop.guarded("answering", () -> query.client.respond(status, retryAfter, body));
    }

    private boolean tryEnd(OpenQuery query, String counter) {
        if (query == null || query.ended) {
            return false;
        }
        queries.onEnded(query);
        counters.add(counter);
        // Danger: a query of which nothing is out when it ends gets no more news, and would be kept for good. The
        // decisions are done with it only once they return.
        loop.later("forgetting a query", () -> {
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
