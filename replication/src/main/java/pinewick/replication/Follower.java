package pinewick.replication;

import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.ReplicationResult;
import pinewick.replication.ReplicationMessages.Status;

/** What a primary knows of another store. Times are those of {@link ActiveClock#activeMs}. */
final class Follower {
    /** What was not confirmed is sent again after this long. */
    private static final double RESEND_INTERVAL_MS = 200;

    /** The same for a whole state, doubled each time: it may be large, and its link slow. */
    private static final double SNAPSHOT_RESEND_INTERVAL_MS = 400;

    private static final double MAX_SNAPSHOT_RESEND_INTERVAL_MS = 1_600;

    /** The same while its disk is in trouble. */
    private static final double UNHEALTHY_RESEND_INTERVAL_MS = 500;

    private final Member member;
    private StateVersion stateVersion = StateVersion.NONE;
    private EpochNumber promised = EpochNumber.NONE;
    private EpochNumber accepted = EpochNumber.NONE;
    private boolean knowsAcceptedChosen;
    private boolean shuttingDown;
    private double shuttingDownSinceMs;
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

    /** The state it holds, as last heard. */
    StateVersion stateVersion() {
        return stateVersion;
    }

    EpochNumber promised() {
        return promised;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** For how long it has been about to end. */
    double shuttingDownForMs(double nowMs) {
        return nowMs - shuttingDownSinceMs;
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

    /** Whether it has accepted the record and knows that it stands. */
    boolean knowsChosen(EpochNumber number) {
        return accepted.equals(number) && knowsAcceptedChosen;
    }

    /** Whether its disk did what was asked of it lately. */
    boolean isDiskHealthy() {
        return diskHealthy;
    }

    /** Whether nothing speaks against its being in sync. */
    boolean isHealthy() {
        return diskHealthy && !shuttingDown;
    }

    /** A primary that begins knows of it only since then, or since the time given. */
    void setLastContactMs(double atMs) {
        lastContactMs = atMs;
    }

    /** How long it has lacked the target state. */
    double laggingMs(double nowMs) {
        return Double.isNaN(laggingSinceMs) ? 0 : nowMs - laggingSinceMs;
    }

    /** Whether something was sent to it that it may yet confirm. */
    boolean isReplyPending(double nowMs) {
        double intervalMs = diskHealthy ? resendIntervalMs : Math.max(resendIntervalMs, UNHEALTHY_RESEND_INTERVAL_MS);
        return sentVersion.compareTo(stateVersion) > 0 && nowMs - replyPendingSinceMs < intervalMs;
    }

    /** The state that it will hold once all that is on its way has arrived. */
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

    /** A whole state was sent. */
    void onSnapshotSent(StateVersion snapshotVersion, double nowMs) {
        sentVersion = snapshotVersion;
        replyPendingSinceMs = nowMs;
        resendIntervalMs = nextSnapshotResendIntervalMs;
        nextSnapshotResendIntervalMs = Math.min(2 * nextSnapshotResendIntervalMs, MAX_SNAPSHOT_RESEND_INTERVAL_MS);
    }

    /** There is a new state to be held. */
    void onTargetChanged(StateVersion target, double nowMs) {
        laggingSinceMs = stateVersion.equals(target) ? Double.NaN : nowMs;
    }

    /** A new epoch begins: what was confirmed of the one before is void. */
    void onEpochStarted(double nowMs) {
        confirmedHeartbeat = 0;
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
     * An answer that a later one has overtaken tells nothing. Silence counts from the question: an answer that was long
     * on its way does not show that the other still runs.
     *
     * @param heartbeatSentMs when the heartbeat that is answered was sent
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

    /** What a store knows of a record it does not unlearn; two answers to one round may have passed each other. */
    private void updateAccepted(EpochNumber number, boolean isChosen) {
        if (number.equals(accepted)) {
            knowsAcceptedChosen |= isChosen;
        } else if (number.isAfter(accepted)) {
            accepted = number;
            knowsAcceptedChosen = isChosen;
        }
    }

    void onStateReply(ReplicationReply reply, EpochNumber number, StateVersion target, double nowMs) {
        promised = reply.promised();
        diskHealthy = reply.result() != ReplicationResult.DISK_FAILED;
        updateStateVersion(reply.stateVersion(), number, target, nowMs);
    }

    /** Tags of the present epoch only grow; what says otherwise is late. */
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
