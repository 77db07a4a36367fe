package pinewick.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Queries of which something may still be told, by id; those that await their answer are counted apart. */
public final class OpenQueries {
    private final Map<String, OpenQuery> byId = new LinkedHashMap<>();
    private final Map<String, OpenQuery.ShardRequest> byPart = new LinkedHashMap<>();
    private int awaiting;
    private int held;

    public OpenQuery query(String id) {
        return byId.get(id);
    }

    public OpenQuery.ShardRequest piece(String part) {
        return byPart.get(part);
    }

    public void add(OpenQuery query) {
        byId.put(query.id, query);
        byPart.putAll(query.pieces);
        awaiting++;
        held += 1 + query.pieces.size();
    }

    /** The query has its answer, or nobody waits for one. */
    public void ended(OpenQuery query) {
        if (!query.ended) {
            query.ended = true;
            if (query.net != null) {
                query.net.remove();
            }
            awaiting--;
            held -= 1 + query.pieces.size();
        }
    }

    public void forget(OpenQuery query) {
        ended(query);
        // By value: another query may have come under the same id meanwhile.
        byId.remove(query.id, query);
        query.pieces.forEach(byPart::remove);
    }

    /** Queries that are not forgotten yet. */
    public int kept() {
        return byId.size();
    }

    public int awaiting() {
        return awaiting;
    }

    /** Queries and parts that await an answer. */
    public int held() {
        return held;
    }

    /** Launches that have not ended. */
    public long out() {
        return byPart.values().stream()
                .flatMap(piece -> piece.launches.stream())
                .filter(each -> !each.over)
                .count();
    }
}
