package pinewick.replication;

import java.util.OptionalLong;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/** Decides upon changes and reads while this process leads. */
final class PrimaryRole {
    private final CommitReport commitReport;
    private final ChangeQueue changes;
    private final ReadQueue reads;

    PrimaryRole(CommitReport commitReport, ChangeQueue changes, ReadQueue reads) {
        this.commitReport = commitReport;
        this.changes = changes;
        this.reads = reads;
    }

    /**
     * Does whatever can be done now.
     *
     * @param takesChanges whether a new change may be begun
     */
    void advance(Leadership leadership, boolean takesChanges) {
        while (takesChanges && leadership.mayReplicate() && !changes.isEmpty()) {
            changes.next().ifPresent(entry -> decide(leadership, entry));
            noteCommitted(leadership);
        }
        if (!leadership.begun()) {
            return;
        }
        if (changes.wantsRound() || reads.wantsRound()) {
            long round = leadership.heartbeat();
            changes.asked(round);
            reads.asked(round);
        }
        changes.confirmed(leadership.confirmedRound());
        reads.confirmed(leadership.confirmedRound(), leadership.committed().document());
    }

    /** Tells whoever waits when a state has become committed. */
    void noteCommitted(Leadership leadership) {
        if (!leadership.noteCommitted()) {
            return;
        }
        ConfigurationState state = leadership.committed();
        commitReport.onCommitted(state.tag());
        leadership.heartbeat();
        changes.committed(state);
    }

    private void decide(Leadership leadership, ChangeQueue.Entry entry) {
        ConfigurationState state = leadership.committed();
        ConfigurationChange change = entry.change();
        OptionalLong acceptedBefore = state.changes().versionOf(change.baseVersion(), entry.digest());
        if (acceptedBefore.isPresent()) {
            changes.answerOnceConfirmed(entry, new ChangeOutcome.Accepted(acceptedBefore.getAsLong()));
            return;
        }
        if (change.baseVersion() != state.document().version()) {
            changes.answerOnceConfirmed(entry, otherBase(change, state));
            return;
        }
        try {
            ConfigurationDocument changed = read(change, state.document());
            ChangeKey key = new ChangeKey(change.baseVersion(), changed.version(), entry.digest());
            byte[] delta = ConfigurationChecks.writeDelta(ConfigurationDelta.between(state.document(), changed));
            changes.replicating(entry);
            leadership.replicate(delta, key);
        } catch (InvalidConfigurationException e) {
            changes.answerOnceConfirmed(entry, new ChangeOutcome.Invalid(e.faults()));
        }
    }

    /** A change so old that it may have been accepted and forgotten is not refused. */
    private static ChangeOutcome otherBase(ConfigurationChange change, ConfigurationState state) {
        return state.changes().mayHaveForgotten(change.baseVersion())
                ? new ChangeOutcome.Unknown("it builds upon a version too old to tell whether it was accepted")
                : new ChangeOutcome.VersionConflict(state.document().version());
    }

    private static ConfigurationDocument read(ConfigurationChange change, ConfigurationDocument current)
            throws InvalidConfigurationException {
        ConfigurationDocument changed =
                switch (change.kind()) {
                    case REPLACE -> ConfigurationChecks.parseReplacement(change.body());
                    case UPDATE -> ConfigurationChecks.parseUpdate(current, change.body());
                };
        ConfigurationChecks.requireNewer(changed, current.version());
        return changed;
    }
}
