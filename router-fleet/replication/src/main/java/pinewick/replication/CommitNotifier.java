package pinewick.replication;

import pinewick.model.ConfigurationDocument;

/** Notifies the listener of committed states, once of each. Control loop only. */
final class CommitNotifier {
    private final ReplicationContext context;
    private StateVersion lastNotified = StateVersion.NONE;

    CommitNotifier(ReplicationContext context) {
        this.context = context;
    }

    /**
     * The state with this version is committed. Notifies the listener if this process has that state on disk and the
     * configuration in it is not the empty one.
     */
    void onCommitted(StateVersion committed) {
        ConfigurationState current = context.durable().state();
        boolean known =
                !committed.equals(StateVersion.NONE) && current.version().equals(committed);
        if (!known || lastNotified.equals(committed)) {
            return;
        }
        lastNotified = committed;
        if (current.document().version() > ConfigurationDocument.EMPTY.version()) {
            context.listener().onCommitted(current.document());
        }
    }

    /** Whether this committed state, or a later one of the same epoch, has been reported to the listener. */
    boolean hasNotified(StateVersion committed) {
        return !committed.equals(StateVersion.NONE)
                && lastNotified.epoch() == committed.epoch()
                && lastNotified.compareTo(committed) >= 0;
    }
}
