package pinewick.selection;

import java.util.Optional;
import pinewick.model.ReplicaRecord;

/**
 * The replicas that serve a request.
 *
 * @param prefill does the prefill; empty for aggregated serving and for plain requests
 * @param decode runs the request
 */
public record ReplicaPair(Optional<ReplicaRecord> prefill, ReplicaRecord decode) {}
