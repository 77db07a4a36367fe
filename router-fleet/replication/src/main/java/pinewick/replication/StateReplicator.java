package pinewick.replication;

import pinewick.model.Message;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.Replicate;

/**
 * Brings the followers of one epoch to the target state. A follower that has the state from which the epoch started
 * only relabels it ({@link RelabelState}); one that cannot be brought up to date by the recent changes alone gets a
 * snapshot ({@link InstallSnapshot}). The changes after either are pipelined, that is, sent without waiting for the
 * reply ({@link Replicate}). Whatever is not confirmed is sent again after the resend interval that {@link Follower}
 * tracks. Control loop only.
 */
final class StateReplicator {
    /** An encoded snapshot, cached for other followers that need the same one. */
    private record EncodedSnapshot(StateVersion version, byte[] document, byte[] acceptedChanges) {
        static final EncodedSnapshot NONE = new EncodedSnapshot(StateVersion.NONE, new byte[0], new byte[0]);
    }

    private final ReplicationContext context;
    private final EpochRecord record;
    private final Followers followers;
    private final StateVersion baseVersion;
    private final StateVersion startVersion;
    private final RecentChanges recentChanges;
    private StateVersion targetVersion;
    private EncodedSnapshot snapshot = EncodedSnapshot.NONE;

    /**
     * @param baseVersion version of the state from which the epoch starts
     * @param startVersion version of the same state in the epoch
     */
    StateReplicator(
            ReplicationContext context,
            EpochRecord record,
            Followers followers,
            StateVersion baseVersion,
            StateVersion startVersion) {
        this.context = context;
        this.record = record;
        this.followers = followers;
        this.baseVersion = baseVersion;
        this.startVersion = startVersion;
        this.recentChanges = new RecentChanges(startVersion);
        this.targetVersion = startVersion;
    }

    /** The newest state of the epoch, committed or not. */
    StateVersion targetVersion() {
        return targetVersion;
    }

    /** Appends a change, which leads to a new target state; the next {@link #replicateToFollowers} sends it. */
    void append(RecentChanges.LoggedChange change) {
        targetVersion = change.stateVersion();
        recentChanges.add(change);
        followers.all().forEach(follower -> follower.onTargetChanged(targetVersion, context.activeMs()));
    }

    /**
     * Sends each follower what it lacks, except what is in flight to it. Skips followers that have promised a higher
     * number, and those outside the in-sync set that are shutting down or without recent contact.
     */
    void replicateToFollowers() {
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean inSync = record.inSync().contains(follower.identity());
            boolean isReceiver = inSync
                    || (!follower.isShuttingDown()
                            && follower.sinceContactMs(now) <= 2 * PrimaryEpoch.HEARTBEAT_INTERVAL_MS);
            if (isReceiver && !follower.promised().isAfter(record.number())) {
                replicateTo(follower, now);
            }
        }
    }

    /** Sends a starting state, if the follower needs one, followed at once by the changes after it. */
    private void replicateTo(Follower follower, double now) {
        if (!follower.isReplyPending(now) && !recentChanges.coversChangesAfter(follower.stateVersion())) {
            sendStartingState(follower, now);
        }
        StateVersion expected = follower.expectedVersion(now);
        if (expected.equals(targetVersion) || !recentChanges.coversChangesAfter(expected)) {
            return;
        }
        for (RecentChanges.LoggedChange change : recentChanges.changesAfter(expected)) {
            RequestId request = context.requests().next();
            send(
                    follower,
                    new Replicate(request, record.number(), change.stateVersion(), change.delta(), change.key()));
        }
        follower.onChangesSent(targetVersion, now);
    }

    private void sendStartingState(Follower follower, double now) {
        if (follower.stateVersion().equals(baseVersion) && recentChanges.coversChangesAfter(startVersion)) {
            send(follower, new RelabelState(context.requests().next(), record.number(), baseVersion, startVersion));
            follower.onChangesSent(startVersion, now);
            return;
        }
        EncodedSnapshot encoded = currentSnapshot();
        send(
                follower,
                new InstallSnapshot(
                        context.requests().next(),
                        record.number(),
                        encoded.version,
                        encoded.document,
                        encoded.acceptedChanges));
        follower.onSnapshotSent(encoded.version, now);
    }

    private EncodedSnapshot currentSnapshot() {
        ConfigurationState state = context.durable().state();
        StateVersion version = targetVersion.equals(startVersion) ? startVersion : state.version();
        if (!version.equals(snapshot.version)) {
            snapshot = new EncodedSnapshot(
                    version, state.documentBytes(), state.changes().toBytes());
        }
        return snapshot;
    }

    private void send(Follower follower, Message message) {
        context.peers().send(context.peers().addressOf(follower.member()), message);
    }
}
