package pinewick.replication;

import pinewick.model.ConfigurationDocument;

/** Tells the listener of each committed state once. */
final class CommitReport {
    private final Context context;
    private StateTag reported = StateTag.NONE;

    CommitReport(Context context) {
        this.context = context;
    }

    /** The state under this tag is committed: told on if it is the one held here. */
    void onCommitted(StateTag committed) {
        ConfigurationState held = context.durable().state();
        boolean known = !committed.equals(StateTag.NONE) && held.tag().equals(committed);
        if (!known || reported.equals(committed)) {
            return;
        }
        reported = committed;
        if (held.document().version() > ConfigurationDocument.EMPTY.version()) {
            context.listener().committed(held.document());
        }
    }

    /** Whether the listener has been told of this committed state, or of a later one of its epoch. */
    boolean covers(StateTag committed) {
        return !committed.equals(StateTag.NONE)
                && reported.epoch() == committed.epoch()
                && reported.compareTo(committed) >= 0;
    }
}
