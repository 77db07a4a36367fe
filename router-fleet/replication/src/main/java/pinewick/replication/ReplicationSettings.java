package pinewick.replication;

import java.util.List;
import pinewick.model.SocketAddress;

/**
 * Settings of one process for the replication of the configuration.
 *
 * @param address where this process receives internal messages
 * @param operatorApi where this process serves the operator API
 * @param seeds internal addresses of some controllers
 * @param firstStart whether the whole system starts for the first time
 * @param toleratedMachines how many machines may be lost at once (f)
 * @param ackMs the time within which a submitted change is answered, milliseconds
 * @param leaseMs the shortest time between the last order of one lease holder and the first order of the next,
 *     milliseconds
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

    /** The least number of stores that must have a change on disk before it is acknowledged (f + 1). */
    public int minInSyncStores() {
        return toleratedMachines + 1;
    }

    /** The number of members needed to keep a majority while {@link #toleratedMachines} of them are lost (2 f + 1). */
    public int targetMemberCount() {
        return 2 * toleratedMachines + 1;
    }

    /** Whether this process is a founder: a seed of a system that starts for the first time. */
    public boolean isFounder() {
        return firstStart && seeds.contains(address);
    }
}
