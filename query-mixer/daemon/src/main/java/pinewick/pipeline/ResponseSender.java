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
    private static final int FULFILLED = 200;
    private static final int DECLINED = 503;
    private static final int GIVEN_UP = 500;

    private final Loop loop;
    private final OpenQueries queries;
    private final Counters counters;
    private final AttemptDispatcher send;

    public ResponseSender(Loop loop, OpenQueries queries, Counters counters, AttemptDispatcher send) {
        this.loop = loop;
        this.queries = queries;
        this.counters = counters;
        this.send = send;
    }

    public void fulfil(OpenQuery query, boolean whole) {
        if (ends(query, whole ? "fulfilled-whole" : "fulfilled-part")) {
            answer(query, FULFILLED, 0, QueryText.answer(query, whole));
        }
    }

    public void decline(OpenQuery query, double retryAfter) {
        if (ends(query, "declined")) {
            answer(query, DECLINED, retryAfter, words("declined"));
        }
    }

    public void giveUp(OpenQuery query) {
        if (ends(query, "given-up")) {
            answer(query, GIVEN_UP, 0, words("given up"));
        }
    }

    /** For a query that was never admitted: harmless to retry. */
    public void turnAway(OpenQuery query, double retryAfter) {
        query.ended = true;
        answer(query, DECLINED, retryAfter, words("full"));
    }

    /** The client has left: no answer, and nothing more is sent. */
    public void left(OpenQuery query) {
        ends(query, "withdrawn");
    }

    /** Danger: a client's broken connection would throw into the midst of a decision. Harm: none. */
    private void answer(OpenQuery query, int status, double retryAfter, byte[] body) {
        loop.guarded("answering", () -> query.client.respond(status, retryAfter, body));
    }

    private boolean ends(OpenQuery query, String counter) {
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
        for (OpenQuery.ShardRequest piece : query.shardRequests.values()) {
            for (InFlightAttempt launch : piece.attempts) {
                send.takeBack(launch, SchedulerHost.Outcome.MOOT);
            }
        }
        return true;
    }

    private static byte[] words(String text) {
        return (text + "\n").getBytes(StandardCharsets.US_ASCII);
    }
}
