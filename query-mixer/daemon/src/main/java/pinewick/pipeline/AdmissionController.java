package pinewick.pipeline;

import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.state.Counters;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Second stage: rejects queries beyond the configured limit before the scheduler sees them. */
public final class AdmissionController {
    private final Limits limits;
    private final EventLoop loop;
    private final OpenQueries queries;
    private final Counters counters;
    private final QueryRouter router;
    private final ResponseSender responses;

    public AdmissionController(
            Limits limits,
            EventLoop loop,
            OpenQueries queries,
            Counters counters,
            QueryRouter router,
            ResponseSender responses) {
        this.limits = limits;
        this.loop = loop;
        this.queries = queries;
        this.counters = counters;
        this.router = router;
        this.responses = responses;
    }

    /** Rejects a query before admission; {@code retryAfter} is in seconds, 0 gives no advice. */
    void reject(OpenQuery query, double retryAfter) {
        counters.add("taken");
        responses.rejectUnadmitted(query, retryAfter);
    }

    /** Admits a query, or rejects it at the limit; IllegalArgumentException if its id is in use by an open query. */
    public void admit(OpenQuery query) {
        if (queries.query(query.id) != null) {
            throw new IllegalArgumentException("id: Req-Id is that of an open request");
        }
        counters.add("taken");
        if (queries.heldCount() + 1 + query.shardRequests.size() > limits.maxOpenItems()) {
            counters.add("turned-away-full");
            responses.rejectUnadmitted(query, 0);
            return;
        }
        queries.add(query);
        counters.peak("peak-held", queries.heldCount());
        query.safetyTimer = loop.timeOut(
                query.timeoutSeconds + limits.backstopDelaySeconds(),
                "a query's safety timeout",
                () -> failIfOpen(query));
        router.submit(query);
    }

    /**
     * Answers a query even if the scheduler fails or a timer is lost. It has to run after the scheduler's own deadline,
     * and after the batch in which that is handled: before it, a query that could still be rejected (safe to retry)
     * would fail instead.
     */
    private void failIfOpen(OpenQuery query) {
        if (!query.ended) {
            counters.add("ended-by-the-net");
            responses.fail(query);
        }
    }
}
