package pinewick.replication;

import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.ReplicationResult;
import pinewick.replication.ReplicationMessages.Status;

/**
 * What a primary knows of another controller's store, a member or an observer: what it has promised, accepted and
 * stored, and what was sent to it and is not confirmed. Times are those of {@link ActiveClock#activeMs}. Control loop
 * only.
 */
final class Follower {
    /** What was not confirmed is sent again after this long. */
    private static final double RESEND_INTERVAL_MS = 200;

    /** The same for a snapshot, doubled each time: it may be large, and its link slow. */
    private static final double SNAPSHOT_RESEND_INTERVAL_MS = 400;

    private static final double MAX_SNAPSHOT_RESEND_INTERVAL_MS = 1_600;

    /** The same while its disk is unhealthy. */
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

    /** The state that it has on disk, as last reported. */
    StateVersion stateVersion() {
        return stateVersion;
    }

    EpochNumber promised() {
        return promised;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** For how long its process has been shutting down. */
    double shuttingDownForMs(double nowMs) {
        return nowMs - shuttingDownSinceMs;
    }

    /** How long ago its process was last permitted to end, in this epoch. */
    double sincePermitSentMs(double nowMs) {
        return nowMs - permitSentMs;
    }

    void onPermitSent(double nowMs) {
        permitSentMs = nowMs;
    }

    private void updateShuttingDown(boolean isNow, double nowMs) {
        if (isNow && !shuttingDown) {
            shuttingDownSinceMs = nowMs;
        }
        shuttingDown = isNow;
    }

    long confirmedHeartbeat() {
        return confirmedHeartbeat;
    }

    double sinceContactMs(double nowMs) {
        return nowMs - lastContactMs;
    }

    /** Whether it has accepted the record with this number and knows that it is chosen. */
    boolean knowsChosen(EpochNumber number) {
        return accepted.equals(number) && knowsAcceptedChosen;
    }

    /** Whether its disk completed its last write in time. */
    boolean isDiskHealthy() {
        return diskHealthy;
    }

    /** Whether it may be in sync: its disk is healthy and its process is not shutting down. */
    boolean isHealthy() {
        return diskHealthy && !shuttingDown;
    }

    /** A new primary counts contact from its own start, or from the time given. */
    void setLastContactMs(double atMs) {
        lastContactMs = atMs;
    }

    /** For how long it has lacked the target state. */
    double laggingMs(double nowMs) {
        return Double.isNaN(laggingSinceMs) ? 0 : nowMs - laggingSinceMs;
    }

    /** Whether something was sent to it that it may still confirm. */
    boolean isReplyPending(double nowMs) {
        double intervalMs = diskHealthy ? resendIntervalMs : Math.max(resendIntervalMs, UNHEALTHY_RESEND_INTERVAL_MS);
        return sentVersion.compareTo(stateVersion) > 0 && nowMs - replyPendingSinceMs < intervalMs;
    }

    /** The state that it will have once everything that is in flight has arrived. */
    StateVersion expectedVersion(double nowMs) {
        return isReplyPending(nowMs) ? sentVersion : stateVersion;
    }

    /** Changes up to a state were sent. */
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

    /** A new epoch starts: confirmations of the one before are void. */
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
     * A reply that a later one has overtaken is ignored. Contact counts from when the heartbeat was sent: a reply that
     * was delayed does not show that the follower still runs.
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
     * A store never loses its knowledge that a record is chosen; two replies to one heartbeat may arrive in either
     * order.
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

    /** State versions of the current epoch only grow; a lower one was delayed. */
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
