package pinewick.dataplane;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.selection.ReplicaPair;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RequestShape;

/**
 * Chooses the replicas of a request. In production this is {@link ReplicaSelector}; tests use it to force an order of
 * events.
 */
interface PairChooser {
    /** The pair for a request, empty if no candidate is eligible. */
    Optional<ReplicaPair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs);

    /** The decode replica for a prompt that was prefilled by {@code prefillReplica}. */
    Optional<ReplicaRecord> chooseDecode(
            RequestShape request,
            ReplicaRecord prefillReplica,
            Collection<ReplicaRecord> candidates,
            Set<String> excluded,
            double nowMs);

    /** The selection's own choice. */
    static PairChooser of(ReplicaSelector selector) {
        return new PairChooser() {
            @Override
            public Optional<ReplicaPair> choose(
                    RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
                return selector.choose(request, candidates, excluded, nowMs);
            }

            @Override
            public Optional<ReplicaRecord> chooseDecode(
                    RequestShape request,
                    ReplicaRecord prefillReplica,
                    Collection<ReplicaRecord> candidates,
                    Set<String> excluded,
                    double nowMs) {
                return selector.chooseDecode(request, prefillReplica, candidates, excluded, nowMs);
            }
        };
    }
}
