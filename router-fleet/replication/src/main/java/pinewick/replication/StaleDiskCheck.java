package pinewick.replication;

/**
 * Detects that the disk holds an older state of this store than other controllers have seen, as after a backup was
 * restored. Such a store has lost promises or acknowledged changes. It must neither vote nor confirm changes under its
 * identity, so it is reset to an empty store with a new one. Control loop only.
 */
final class StaleDiskCheck {
    private final ReplicationContext context;
    private boolean resetting;

    StaleDiskCheck(ReplicationContext context) {
        this.context = context;
    }

    /**
     * Checks the promise: every in-sync store of a record had the promise of its number on disk before the record was
     * proposed.
     */
    void onRecord(EpochRecord record) {
        DurableState durable = context.durable();
        boolean isPromiseMissing = record.inSync().contains(durable.identity())
                && durable.promised().counter() < record.number().counter();
        if (isPromiseMissing) {
            resetDisk();
        }
    }

    /** Checks the state: every in-sync store had a state on disk before the primary reported it as committed. */
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
                .onEvent("disk holds an older state than other controllers have seen; resetting it to an empty store");
        context.durable().reset(Startup.randomIdentity(context.random()), () -> resetting = false);
    }
}
