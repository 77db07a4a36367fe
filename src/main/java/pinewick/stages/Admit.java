package pinewick.stages;

import pinewick.life.Limits;
import pinewick.memory.Counters;
import pinewick.memory.OpenQueries;
import pinewick.memory.OpenQuery;

/** Second stage: what the mixer can't hold is turned away before any decision, as the settings say. */
public final class Admit {
    private final Limits limits;
    private final OpenQueries queries;
    private final Counters counters;
    private final Route route;
    private final Relay relay;

    public Admit(Limits limits, OpenQueries queries, Counters counters, Route route, Relay relay) {
        this.limits = limits;
        this.queries = queries;
        this.counters = counters;
        this.route = route;
        this.relay = relay;
    }

    public void admit(OpenQuery query) {
        if (queries.query(query.id) != null) {
            counters.add("taken", -1);
            throw new IllegalArgumentException("Req-Id was used before");
        }
        if (queries.held() + 1 + query.pieces.size() > limits.open()) {
            counters.add("turned-away-full");
            relay.turnAway(query);
            return;
        }
        queries.add(query);
        counters.peak("peak-held", queries.held());
        route.take(query);
    }
}
