package pinewick.replication;

/**
 * Finds out that the disk holds an older copy of this store than others have seen, as after a restore. Such a store has
 * forgotten promises and acknowledged changes; it must neither vote nor count as a copy, so it starts over as an empty
 * one under another identity.
 */
final class OldCopyCheck {
    private final Context context;
    private boolean found;

    OldCopyCheck(Context context) {
        this.context = context;
    }

    /** Whoever is in sync by a record has promised its number on disk before the record was proposed. */
    void onRecord(EpochRecord record) {
        DurableState durable = context.durable();
        boolean promiseLost = record.inSync().contains(durable.identity())
                && durable.promised().counter() < record.number().counter();
        if (promiseLost) {
            startOver();
        }
    }

    /** Whoever is in sync had a state on disk before it was called committed. */
    void onCommitted(EpochNumber number, StateTag committed) {
        DurableState durable = context.durable();
        EpochRecord accepted = durable.accepted();
        boolean stateLost = accepted.number().equals(number)
                && accepted.inSync().contains(durable.identity())
                && committed.epoch() == number.counter()
                && durable.state().tag().compareTo(committed) < 0;
        if (stateLost) {
            startOver();
        }
    }

    private void startOver() {
        if (found) {
            return;
        }
        found = true;
        context.listener()
                .noted("the disk holds an older copy of this store than others have seen; it counts as empty");
        context.durable().startOver(Startup.randomIdentity(context.random()), () -> found = false);
    }
}
