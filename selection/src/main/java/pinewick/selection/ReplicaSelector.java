package pinewick.selection;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/**
 * Chooses the replicas of each request and learns from every call. First form, by fewest calls in flight; the score
 * takes its place.
 */
public final class ReplicaSelector {
    private final RandomGenerator random;
    private final Map<String, Integer> outstanding = new HashMap<>();

    public ReplicaSelector(RandomGenerator random) {
        this.random = random;
    }

    /** The number of routers that share the replicas; never below 1. */
    public void setRouterCount(int count) {}

    /**
     * Chooses the pair for a request.
     *
     * @param candidates replicas of the request's service that may be chosen
     * @param excluded instance ids already tried for this request
     * @return empty if no candidate may take it
     */
    public Optional<Pair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        ReplicaRecord best = null;
        for (ReplicaRecord each : candidates) {
            if (excluded.contains(each.instanceId()) || each.stage() == Stage.PREFILL || !each.takesRequests()) {
                continue;
            }
            if (best == null
                    || outstanding.getOrDefault(each.instanceId(), 0)
                            < outstanding.getOrDefault(best.instanceId(), 0)) {
                best = each;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Pair(Optional.empty(), best));
    }

    /** A call to a replica begins. Every call that begins ends by {@link Call#ended}. */
    public Call begin(ReplicaRecord replica, CallKind kind, RequestShape request, double nowMs) {
        outstanding.merge(replica.instanceId(), 1, Integer::sum);
        return new Call(replica.instanceId());
    }

    /** A replica's load report came in, asked for by this router or told by another. */
    public void report(String instanceId, LoadReport report) {}

    /** Forgets everything of an instance that has gone. */
    public void forget(String instanceId) {
        outstanding.remove(instanceId);
    }

    /** One call under way. */
    public final class Call {
        private final String instanceId;
        private boolean ended;

        private Call(String instanceId) {
            this.instanceId = instanceId;
        }

        /** The head of a successful answer came; for streams, the first event. */
        public void firstEvent(double nowMs) {}

        /** A further event came. */
        public void event(double nowMs) {}

        /** The call ended; later calls of this are passed over. */
        public void ended(CallEnding ending, double nowMs) {
            if (!ended) {
                ended = true;
                outstanding.merge(instanceId, -1, Integer::sum);
            }
        }
    }
}
