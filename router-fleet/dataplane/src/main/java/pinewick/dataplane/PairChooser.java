package pinewick.dataplane;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.selection.ReplicaPair;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RequestShape;

/**
 * Chooses the replicas for a request. In production this is {@link ReplicaSelector}; tests implement it to force an
 * order of events.
 */
interface PairChooser {
    /** The pair for a request, empty if no candidate is eligible. */
    Optional<ReplicaPair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs);

    /**
     * The decode replica for a prompt that was prefilled by {@code prefillReplica}, empty if no candidate is eligible.
     */
    Optional<ReplicaRecord> chooseDecode(
            RequestShape request,
            ReplicaRecord prefillReplica,
            Collection<ReplicaRecord> candidates,
            Set<String> excluded,
            double nowMs);

    /** A chooser that delegates to the selector. */
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
