package pinewick.replication;

/**
 * Finds out that the disk holds an older copy of this store than others have seen, as after a restore. Such a store has
 * forgotten promises and acknowledged changes; it must neither vote nor count as a copy, so it starts over as an empty
 * one under another identity.
 */
final class StaleDiskCheck {
    private final ReplicationContext context;
    private boolean resetting;

    StaleDiskCheck(ReplicationContext context) {
        this.context = context;
    }

    /** Whoever is in sync by a record has promised its number on disk before the record was proposed. */
    void onRecord(EpochRecord record) {
        DurableState durable = context.durable();
        boolean isPromiseMissing = record.inSync().contains(durable.identity())
                && durable.promised().counter() < record.number().counter();
        if (isPromiseMissing) {
            resetDisk();
        }
    }

    /** Whoever is in sync had a state on disk before it was called committed. */
    void onCommitted(EpochNumber number, StateVersion committed) {
        DurableState durable = context.durable();
        EpochRecord accepted = durable.accepted();
        boolean isStateMissing = accepted.number().equals(number)
                && accepted.inSync().contains(durable.identity())
                && committed.epoch() == number.counter()
                && durable.state().version().compareTo(committed) < 0;
        if (isStateMissing) {
            resetDisk();
        }
    }

    private void resetDisk() {
        if (resetting) {
            return;
        }
        resetting = true;
        context.listener()
                .onEvent("the disk holds an older copy of this store than others have seen; it counts as empty");
        context.durable().reset(Startup.randomIdentity(context.random()), () -> resetting = false);
    }
}
