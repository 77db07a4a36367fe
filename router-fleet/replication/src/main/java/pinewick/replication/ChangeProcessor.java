package pinewick.replication;

import java.util.OptionalLong;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/**
 * Processes the queued changes and reads of a primary. A change is checked against the committed state and then
 * replicated. An outcome that depends on still being primary (a change that was accepted before, a version conflict, an
 * invalid document, a read) is reported only once a later heartbeat has been confirmed, so that a deposed primary
 * reports none of them. Control loop only.
 */
final class ChangeProcessor {
    private final CommitNotifier commitNotifier;
    private final ChangeQueue changes;
    private final ReadQueue reads;

    ChangeProcessor(CommitNotifier commitNotifier, ChangeQueue changes, ReadQueue reads) {
        this.commitNotifier = commitNotifier;
        this.changes = changes;
        this.reads = reads;
    }

    /**
     * Makes whatever progress is possible now.
     *
     * @param acceptsChanges whether a further change may be replicated
     */
    void advance(PrimaryEpoch epoch, boolean acceptsChanges) {
        while (acceptsChanges && epoch.canReplicate() && !changes.isEmpty()) {
            changes.next().ifPresent(entry -> process(epoch, entry));
            updateCommitted(epoch);
        }
        if (!epoch.isEstablished()) {
            return;
        }
        if (changes.needsHeartbeat() || reads.needsHeartbeat()) {
            long heartbeat = epoch.sendHeartbeat();
            changes.onHeartbeatSent(heartbeat);
            reads.onHeartbeatSent(heartbeat);
        }
        changes.onHeartbeatConfirmed(epoch.lease().confirmedHeartbeat());
        reads.onHeartbeatConfirmed(
                epoch.lease().confirmedHeartbeat(), epoch.committed().document());
    }

    /**
     * Commits the target state if every in-sync store has it on disk; then notifies the listener and completes the
     * change in flight.
     */
    void updateCommitted(PrimaryEpoch epoch) {
        if (!epoch.updateCommitted()) {
            return;
        }
        ConfigurationState state = epoch.committed();
        commitNotifier.onCommitted(state.version());
        epoch.sendHeartbeat();
        changes.onCommitted(state);
    }

    private void process(PrimaryEpoch epoch, ChangeQueue.Entry entry) {
        ConfigurationState state = epoch.committed();
        ConfigurationChange change = entry.change();
        OptionalLong acceptedBefore = state.changes().versionOf(change.baseVersion(), entry.digest());
        if (acceptedBefore.isPresent()) {
            changes.completeOnceConfirmed(entry, new ChangeOutcome.Accepted(acceptedBefore.getAsLong()));
            return;
        }
        if (change.baseVersion() != state.document().version()) {
            changes.completeOnceConfirmed(entry, baseMismatch(change, state));
            return;
        }
        try {
            ConfigurationDocument changed = parse(change, state.document());
            ChangeKey key = new ChangeKey(change.baseVersion(), changed.version(), entry.digest());
            byte[] delta = ConfigurationChecks.writeDelta(ConfigurationDelta.between(state.document(), changed));
            changes.onReplicationStarted(entry);
            epoch.replicate(delta, key);
        } catch (InvalidConfigurationException e) {
            changes.completeOnceConfirmed(entry, new ChangeOutcome.Invalid(e.faults()));
        }
    }

    /**
     * The outcome of a change that is not based on the current version. If its base version is so old that it may have
     * been accepted and evicted, the outcome is unknown rather than a conflict.
     */
    private static ChangeOutcome baseMismatch(ConfigurationChange change, ConfigurationState state) {
        return state.changes().mayHaveEvicted(change.baseVersion())
                ? new ChangeOutcome.Unknown("it builds upon a version too old to tell whether it was accepted")
                : new ChangeOutcome.VersionConflict(state.document().version());
    }

    private static ConfigurationDocument parse(ConfigurationChange change, ConfigurationDocument current)
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
