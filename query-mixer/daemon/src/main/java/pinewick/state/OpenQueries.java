package pinewick.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Queries that may still get events, by id; those that await their response are counted separately. */
public final class OpenQueries {
    private final Map<String, OpenQuery> byId = new LinkedHashMap<>();
    private final Map<String, OpenQuery.ShardRequest> byRequestId = new LinkedHashMap<>();
    private int awaitingCount;
    private int heldCount;

    /** The query with this id; null if there is none. */
    public OpenQuery query(String id) {
        return byId.get(id);
    }

    /** The shard request with this id; null if there is none. */
    public OpenQuery.ShardRequest shardRequest(String requestId) {
        return byRequestId.get(requestId);
    }

    public void add(OpenQuery query) {
        byId.put(query.id, query);
        byRequestId.putAll(query.shardRequests);
        awaitingCount++;
        heldCount += 1 + query.shardRequests.size();
    }

    /** Marks a query as answered, or as abandoned by its client. */
    public void onEnded(OpenQuery query) {
        if (!query.ended) {
            query.ended = true;
            if (query.safetyTimer != null) {
                query.safetyTimer.remove();
            }
            awaitingCount--;
            heldCount -= 1 + query.shardRequests.size();
        }
    }

    public void remove(OpenQuery query) {
        onEnded(query);
        // By value: another query may have been added under the same id meanwhile.
        byId.remove(query.id, query);
        query.shardRequests.forEach(byRequestId::remove);
    }

    /** The number of queries that have not been removed. */
    public int trackedCount() {
        return byId.size();
    }

    /** The number of queries that await a response. */
    public int awaitingCount() {
        return awaitingCount;
    }

    /** The number of queries and shard requests that await a response. */
    public int heldCount() {
        return heldCount;
    }

    /** The number of attempts that have not ended. */
    public long activeAttemptCount() {
        return byRequestId.values().stream()
                .flatMap(request -> request.attempts.stream())
                .filter(each -> !each.ended)
                .count();
    }
}
