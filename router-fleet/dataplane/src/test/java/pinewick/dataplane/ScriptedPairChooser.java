package pinewick.dataplane;

import java.util.Collection;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import pinewick.model.ReplicaRecord;
import pinewick.selection.ReplicaPair;
import pinewick.selection.RequestShape;

/**
 * Chooses the pairs that the test has queued, and delegates once the queue is empty. Fails if a queued replica is
 * excluded or not a candidate.
 */
record ScriptedPairChooser(PairChooser delegate, Queue<String> forcedPairs) implements PairChooser {
    @Override
    public Optional<ReplicaPair> choose(
            RequestShape request, Collection<ReplicaRecord> candidates, Set<String> excluded, double nowMs) {
        String next = forcedPairs.poll();
        if (next == null) {
            return delegate.choose(request, candidates, excluded, nowMs);
        }
        int plus = next.indexOf('+');
        ReplicaRecord decode = find(next.substring(plus + 1), candidates, excluded);
        return Optional.of(
                plus < 0
                        ? new ReplicaPair(Optional.empty(), decode)
                        : new ReplicaPair(Optional.of(find(next.substring(0, plus), candidates, excluded)), decode));
    }

    @Override
    public Optional<ReplicaRecord> chooseDecode(
            RequestShape request,
            ReplicaRecord prefillReplica,
            Collection<ReplicaRecord> candidates,
            Set<String> excluded,
            double nowMs) {
        return delegate.chooseDecode(request, prefillReplica, candidates, excluded, nowMs);
    }

    private static ReplicaRecord find(String id, Collection<ReplicaRecord> candidates, Set<String> excluded) {
        return candidates.stream()
                .filter(candidate -> candidate.instanceId().equals(id) && !excluded.contains(id))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException(id + " cannot be chosen"));
    }
}
