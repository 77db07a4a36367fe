package pinewick.pipeline;

import pinewick.loop.Limits;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Second stage: what the mixer can't hold is turned away before any decision, as the settings say. */
public final class AdmissionController {
    private final Limits limits;
    private final Loop loop;
    private final OpenQueries queries;
    private final Counters counters;
    private final QueryRouter router;
    private final ResponseSender responses;

    public AdmissionController(
            Limits limits,
            Loop loop,
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

    /** Declines a query that was never taken, with advice when to come back; 0 gives none. */
    void reject(OpenQuery query, double retryAfter) {
        counters.add("taken");
        responses.rejectUnadmitted(query, retryAfter);
    }

    public void admit(OpenQuery query) {
        if (queries.query(query.id) != null) {
            throw new IllegalArgumentException("id: Req-Id is that of an open request");
        }
        counters.add("taken");
        if (queries.heldCount() + 1 + query.shardRequests.size() > limits.open()) {
            counters.add("turned-away-full");
            responses.rejectUnadmitted(query, 0);
            return;
        }
        queries.add(query);
        counters.peak("peak-held", queries.heldCount());
        // Danger: a fault in the decisions must not cost a query its answer. Also catches a lost timer. Harm: where it
        // came before the decisions' own end, a query that could be declined would be given up; so it comes after.
        query.safetyTimer = loop.after(query.timeoutSeconds + limits.netAfter(), "the end of a client's time", () -> {
            counters.add("ended-by-the-net");
            responses.fail(query);
        });
        router.submit(query);
    }
}
