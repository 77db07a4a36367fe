package pinewick.lab.scale;

import pinewick.model.SocketAddress;

/**
 * The properties that a replica reports in its heartbeats, apart from its state.
 *
 * @param stage {@code prefill} or {@code decode}
 * @param model the only model that it serves
 */
public record ReplicaProfile(
        String service, SocketAddress address, String zone, int slots, String stage, String model) {}
