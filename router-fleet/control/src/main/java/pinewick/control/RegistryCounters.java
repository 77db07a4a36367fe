package pinewick.control;

/**
 * Counters of heartbeats, published records and removals at this process since its start. A removal is the drain or
 * the deregistration of a replica. Control loop only.
 */
final class RegistryCounters {
    private long heartbeats;
    private long lateHeartbeats;
    private long recordsPublished;
    private long removalsConfirmed;
    private long removalsUnconfirmed;
    private long removalsAcknowledgedAlone;
    private long lapsed;

    void countHeartbeat() {
        heartbeats++;
    }

    void countLateHeartbeat() {
        lateHeartbeats++;
    }

    void countPublished() {
        recordsPublished++;
    }

    void countRemovalConfirmed() {
        removalsConfirmed++;
    }

    void countRemovalUnconfirmed() {
        removalsUnconfirmed++;
    }

    void countRemovalAcknowledgedAlone() {
        removalsAcknowledgedAlone++;
    }

    void countLapsed() {
        lapsed++;
    }

    /** Heartbeats received, including late ones. */
    long heartbeats() {
        return heartbeats;
    }

    /** Heartbeats that arrived out of order, after a newer one of the same replica. */
    long lateHeartbeats() {
        return lateHeartbeats;
    }

    /** Records published to the fleet. */
    long recordsPublished() {
        return recordsPublished;
    }

    /** Removals that another controller confirmed. */
    long removalsConfirmed() {
        return removalsConfirmed;
    }

    /** Removals that no other controller confirmed in time, so that the replica was redirected. */
    long removalsUnconfirmed() {
        return removalsUnconfirmed;
    }

    /** Removals acknowledged without a confirmation, because no other controller was reachable. */
    long removalsAcknowledgedAlone() {
        return removalsAcknowledgedAlone;
    }

    /** Replicas that this process has marked as lapsed. */
    long lapsed() {
        return lapsed;
    }
}
