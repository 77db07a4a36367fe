package pinewick.control;

import pinewick.model.ReplicaRecord;

/** Distinguishes heartbeats that change the record of a replica from those that only show that it is alive. */
final class RecordChanges {
    private RecordChanges() {}

    /**
     * Whether the change from {@code known} to {@code next} has to be published. Changes of the call sequence and of
     * the remaining warm-up time are not significant, since they come with every heartbeat; the end of the warm-up
     * is.
     */
    static boolean isSignificant(ReplicaRecord known, ReplicaRecord next) {
        return isWarmingUp(known) != isWarmingUp(next) || !next.equals(withCountersOf(known, next));
    }

    private static boolean isWarmingUp(ReplicaRecord record) {
        return record.warmUpRemainingMs() > 0;
    }

    private static ReplicaRecord withCountersOf(ReplicaRecord known, ReplicaRecord next) {
        return new ReplicaRecord(
                known.instanceId(),
                known.service(),
                known.address(),
                known.zone(),
                known.softwareVersion(),
                known.slots(),
                known.state(),
                next.warmUpRemainingMs(),
                known.stage(),
                known.models(),
                next.callSequence(),
                known.lapsed());
    }
}
