package pinewick.replication;

import java.util.List;
import pinewick.model.SocketAddress;

/**
 * What a process is told about the replicated configuration.
 *
 * @param address where this process takes internal messages
 * @param operatorApi where this process serves the operator
 * @param seeds internal addresses of some controllers
 * @param firstStart whether the whole system starts for the first time
 * @param toleratedMachines how many machines may be lost at once
 * @param ackMs within this time a change is answered
 * @param leaseMs the shortest pause between the orders of two holders
 */
public record ReplicationSettings(
        SocketAddress address,
        SocketAddress operatorApi,
        List<SocketAddress> seeds,
        boolean firstStart,
        int toleratedMachines,
        int ackMs,
        int leaseMs) {
    public ReplicationSettings {
        seeds = List.copyOf(seeds);
    }

    /** The fewest stores that must have a change on disk before it is acknowledged. */
    public int minInSyncStores() {
        return toleratedMachines + 1;
    }

    /** As many members as it takes to decide while {@link #toleratedMachines} of them are lost. */
    public int targetMemberCount() {
        return 2 * toleratedMachines + 1;
    }

    /** Whether this process is one of those that found the system. */
    public boolean isFounder() {
        return firstStart && seeds.contains(address);
    }
}
