package pinewick.stages;

import java.nio.charset.StandardCharsets;
import pinewick.Host;
import pinewick.memory.Counters;
import pinewick.memory.LiveLaunch;
import pinewick.memory.OpenQueries;
import pinewick.memory.OpenQuery;
import pinewick.wire.QueryText;

/** Fifth stage: the one final answer to a client, and nothing sent for the query after it. */
public final class Relay {
    private static final int FULFILLED = 200;
    private static final int DECLINED = 503;
    private static final int GIVEN_UP = 500;

    private final OpenQueries queries;
    private final Counters counters;
    private final Send send;

    public Relay(OpenQueries queries, Counters counters, Send send) {
        this.queries = queries;
        this.counters = counters;
        this.send = send;
    }

    public void fulfil(OpenQuery query, boolean whole) {
        if (ends(query, whole ? "fulfilled-whole" : "fulfilled-part")) {
            query.asker.answer(FULFILLED, 0, QueryText.answer(query, whole));
        }
    }

    public void decline(OpenQuery query, double retryAfter) {
        if (ends(query, "declined")) {
            query.asker.answer(DECLINED, retryAfter, words("declined"));
        }
    }

    public void giveUp(OpenQuery query) {
        if (ends(query, "given-up")) {
            query.asker.answer(GIVEN_UP, 0, words("given up"));
        }
    }

    /** For a query that was never admitted: harmless to retry. */
    public void turnAway(OpenQuery query) {
        query.ended = true;
        query.asker.answer(DECLINED, 0, words("full"));
    }

    /** The client has left: no answer, and nothing more is sent. */
    public void left(OpenQuery query) {
        ends(query, "withdrawn");
    }

    private boolean ends(OpenQuery query, String counter) {
        if (query == null || query.ended) {
            return false;
        }
        queries.ended(query);
        counters.add(counter);
        for (OpenQuery.Piece piece : query.pieces.values()) {
            for (LiveLaunch launch : piece.launches) {
                send.takeBack(launch, Host.Ending.MOOT);
            }
        }
        return true;
    }

    private static byte[] words(String text) {
        return (text + "\n").getBytes(StandardCharsets.US_ASCII);
    }
}
