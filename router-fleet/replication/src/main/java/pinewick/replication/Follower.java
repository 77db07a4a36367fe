package pinewick.replication;

import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.ReplicationResult;
import pinewick.replication.ReplicationMessages.Status;

/**
 * What a primary knows of another controller's store, a member or an observer: what the store has promised, accepted
 * and written, and what was sent to it but not confirmed yet. Times are those of {@link ActiveClock#activeMs}. Control
 * loop only.
 */
final class Follower {
    /** Changes that are not confirmed are sent again after this long. */
    private static final double RESEND_INTERVAL_MS = 200;

    /** Initial resend interval of a snapshot, doubled with each resend: the snapshot may be large and the link slow. */
    private static final double SNAPSHOT_RESEND_INTERVAL_MS = 400;

    private static final double MAX_SNAPSHOT_RESEND_INTERVAL_MS = 1_600;

    /** Shortest resend interval while the disk of the follower is unhealthy. */
    private static final double UNHEALTHY_RESEND_INTERVAL_MS = 500;

    private final Member member;
    private StateVersion stateVersion = StateVersion.NONE;
    private EpochNumber promised = EpochNumber.NONE;
    private EpochNumber accepted = EpochNumber.NONE;
    private boolean knowsAcceptedChosen;
    private boolean shuttingDown;
    private double shuttingDownSinceMs;
    private double permitSentMs = Double.NEGATIVE_INFINITY;
    private boolean diskHealthy = true;
    private long confirmedHeartbeat;
    private long newestReply;
    private double lastContactMs;
    /** Since when it has lacked the target state; NaN while it has it. */
    private double laggingSinceMs = Double.NaN;

    private StateVersion sentVersion = StateVersion.NONE;
    private double replyPendingSinceMs = Double.NEGATIVE_INFINITY;
    private double resendIntervalMs = RESEND_INTERVAL_MS;
    private double nextSnapshotResendIntervalMs = SNAPSHOT_RESEND_INTERVAL_MS;

    Follower(Member member, double nowMs) {
        this.member = member;
        this.lastContactMs = nowMs;
    }

    Member member() {
        return member;
    }

    String identity() {
        return member.identity();
    }

    /** Version of the state that it has on disk, as last reported. */
    StateVersion stateVersion() {
        return stateVersion;
    }

    EpochNumber promised() {
        return promised;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** For how long its process has been shutting down; meaningful only while {@link #isShuttingDown}. */
    double shuttingDownForMs(double nowMs) {
        return nowMs - shuttingDownSinceMs;
    }

    /** How long ago a shutdown permit was last sent to it in this epoch; infinite if none was. */
    double sincePermitSentMs(double nowMs) {
        return nowMs - permitSentMs;
    }

    void onPermitSent(double nowMs) {
        permitSentMs = nowMs;
    }

    private void updateShuttingDown(boolean isShuttingDownNow, double nowMs) {
        if (isShuttingDownNow && !shuttingDown) {
            shuttingDownSinceMs = nowMs;
        }
        shuttingDown = isShuttingDownNow;
    }

    long confirmedHeartbeat() {
        return confirmedHeartbeat;
    }

    double sinceContactMs(double nowMs) {
        return nowMs - lastContactMs;
    }

    /** Whether it has accepted the record with this number and knows the record to be chosen. */
    boolean knowsChosen(EpochNumber number) {
        return accepted.equals(number) && knowsAcceptedChosen;
    }

    /** Whether its disk is healthy, as last reported ({@link DurableState#isHealthy}). */
    boolean isDiskHealthy() {
        return diskHealthy;
    }

    /** Whether its disk is healthy and its process is not shutting down, so that it may be added to the in-sync set. */
    boolean isHealthy() {
        return diskHealthy && !shuttingDown;
    }

    /**
     * Sets the time of the last contact, for a new primary that has had none with this store, or for contact by a
     * status.
     */
    void setLastContactMs(double atMs) {
        lastContactMs = atMs;
    }

    /** For how long it has lacked the target state; 0 if it has it. */
    double laggingMs(double nowMs) {
        return Double.isNaN(laggingSinceMs) ? 0 : nowMs - laggingSinceMs;
    }

    /** Whether it may still confirm something that was sent to it: the resend interval has not passed. */
    boolean isReplyPending(double nowMs) {
        double intervalMs = diskHealthy ? resendIntervalMs : Math.max(resendIntervalMs, UNHEALTHY_RESEND_INTERVAL_MS);
        return sentVersion.compareTo(stateVersion) > 0 && nowMs - replyPendingSinceMs < intervalMs;
    }

    /** Version of the state that it will have once everything in flight to it has arrived. */
    StateVersion expectedVersion(double nowMs) {
        return isReplyPending(nowMs) ? sentVersion : stateVersion;
    }

    /** Changes up to this version, or the relabelling to it, were sent. */
    void onChangesSent(StateVersion upTo, double nowMs) {
        if (!isReplyPending(nowMs)) {
            replyPendingSinceMs = nowMs;
            resendIntervalMs = RESEND_INTERVAL_MS;
        }
        sentVersion = upTo;
    }

    /** A snapshot was sent. */
    void onSnapshotSent(StateVersion snapshotVersion, double nowMs) {
        sentVersion = snapshotVersion;
        replyPendingSinceMs = nowMs;
        resendIntervalMs = nextSnapshotResendIntervalMs;
        nextSnapshotResendIntervalMs = Math.min(2 * nextSnapshotResendIntervalMs, MAX_SNAPSHOT_RESEND_INTERVAL_MS);
    }

    /** There is a new target state. */
    void onTargetChanged(StateVersion target, double nowMs) {
        laggingSinceMs = stateVersion.equals(target) ? Double.NaN : nowMs;
    }

    /** A new epoch starts: confirmations of the earlier one no longer count. */
    void onEpochStarted(double nowMs) {
        confirmedHeartbeat = 0;
        permitSentMs = Double.NEGATIVE_INFINITY;
        knowsAcceptedChosen = false;
        accepted = EpochNumber.NONE;
        sentVersion = StateVersion.NONE;
        nextSnapshotResendIntervalMs = SNAPSHOT_RESEND_INTERVAL_MS;
        laggingSinceMs = nowMs;
    }

    void onPromise(Promise promise, double nowMs) {
        lastContactMs = nowMs;
        promised = promise.number();
        stateVersion = promise.stateVersion();
        updateShuttingDown(promise.shuttingDown(), nowMs);
        diskHealthy = true;
    }

    void onStatus(Status status, EpochNumber number, StateVersion target, double nowMs) {
        promised = status.promised();
        updateStateVersion(status.stateVersion(), number, target, nowMs);
    }

    /**
     * Handles a heartbeat reply, unless a reply to a later heartbeat arrived before it. Contact counts from when the
     * heartbeat was sent: a delayed reply does not show that the follower still runs.
     *
     * @param heartbeatSentMs when the heartbeat that it answers was sent
     */
    void onHeartbeatReply(
            HeartbeatReply reply, EpochNumber number, StateVersion target, double heartbeatSentMs, double nowMs) {
        long heartbeat = reply.request().sequence();
        if (heartbeat < newestReply) {
            return;
        }
        boolean wasShuttingDown = heartbeat == newestReply && shuttingDown;
        newestReply = heartbeat;
        lastContactMs = Math.max(lastContactMs, heartbeatSentMs);
        promised = reply.promised();
        updateAccepted(reply.accepted(), reply.knowsRecordChosen());
        updateShuttingDown(reply.shuttingDown() || wasShuttingDown, nowMs);
        diskHealthy = reply.diskHealthy();
        if (reply.number().equals(number) && reply.promised().equals(number)) {
            confirmedHeartbeat = Math.max(confirmedHeartbeat, heartbeat);
        }
        updateStateVersion(reply.stateVersion(), number, target, nowMs);
    }

    /**
     * Merges the accepted record that a reply reports. A store that knows a record to be chosen never forgets it, but
     * two replies to one heartbeat may arrive in either order.
     */
    private void updateAccepted(EpochNumber number, boolean isChosen) {
        if (number.equals(accepted)) {
            knowsAcceptedChosen |= isChosen;
        } else if (number.isAfter(accepted)) {
            accepted = number;
            knowsAcceptedChosen = isChosen;
        }
    }

    void onReplicationReply(ReplicationReply reply, EpochNumber number, StateVersion target, double nowMs) {
        promised = reply.promised();
        diskHealthy = reply.result() != ReplicationResult.DISK_FAILED;
        updateStateVersion(reply.stateVersion(), number, target, nowMs);
    }

    /**
     * Within the current epoch the version of a store only rises, so a lower one comes from a delayed reply and is
     * ignored.
     */
    private void updateStateVersion(StateVersion reported, EpochNumber number, StateVersion target, double nowMs) {
        boolean isOfCurrentEpoch = stateVersion.epoch() == number.counter();
        if (!isOfCurrentEpoch || reported.compareTo(stateVersion) > 0) {
            onProgress(reported, nowMs);
            stateVersion = reported;
        }
        if (stateVersion.equals(target)) {
            laggingSinceMs = Double.NaN;
        }
    }

    private void onProgress(StateVersion reported, double nowMs) {
        if (!reported.equals(stateVersion)) {
            replyPendingSinceMs = nowMs;
            resendIntervalMs = RESEND_INTERVAL_MS;
            nextSnapshotResendIntervalMs = SNAPSHOT_RESEND_INTERVAL_MS;
        }
    }
}
