package pinewick.control;

import pinewick.model.ReplicaRecord;

/** Tells the heartbeats that only prove life from those that bring something new. */
final class RecordChanges {
    private RecordChanges() {}

    /**
     * Whether the fleet has to be told that {@code known} has become {@code next}. The number of the call and the time
     * that a cold replica has left run on by themselves; that it is cold no more is news.
     */
    static boolean isNews(ReplicaRecord known, ReplicaRecord next) {
        return isCold(known) != isCold(next) || !next.equals(withRunningFieldsOf(known, next));
    }

    private static boolean isCold(ReplicaRecord record) {
        return record.coldRemainingMs() > 0;
    }

    private static ReplicaRecord withRunningFieldsOf(ReplicaRecord known, ReplicaRecord next) {
        return new ReplicaRecord(
                known.instanceId(),
                known.service(),
                known.address(),
                known.zone(),
                known.softwareVersion(),
                known.slots(),
                known.state(),
                next.coldRemainingMs(),
                known.stage(),
                known.models(),
                next.callSequence(),
                known.lapsed());
    }
}
