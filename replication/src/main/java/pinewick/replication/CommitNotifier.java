package pinewick.replication;

import pinewick.model.ConfigurationDocument;

/** Tells the listener of each committed state once. */
final class CommitNotifier {
    private final ReplicationContext context;
    private StateVersion lastNotified = StateVersion.NONE;

    CommitNotifier(ReplicationContext context) {
        this.context = context;
    }

    /** The state under this tag is committed: told on if it is the one held here. */
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

    /** Whether the listener has been told of this committed state, or of a later one of its epoch. */
    boolean hasNotified(StateVersion committed) {
        return !committed.equals(StateVersion.NONE)
                && lastNotified.epoch() == committed.epoch()
                && lastNotified.compareTo(committed) >= 0;
    }
}
