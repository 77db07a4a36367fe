package pinewick.replication;

import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.StateResult;
import pinewick.replication.ReplicationMessages.Status;

/** What a primary knows of another store. Times are those of {@link ActiveClock#activeMs}. */
final class Replica {
    /** A state that was not confirmed is sent again after this long. */
    private static final double RESEND_MS = 200;

    /** The same while its disk is in trouble. */
    private static final double RESEND_TO_FAILING_MS = 500;

    private final Member member;
    private StateTag tag = StateTag.NONE;
    private EpochNumber promised = EpochNumber.NONE;
    private EpochNumber accepted = EpochNumber.NONE;
    private boolean settled;
    private boolean leaving;
    private double leavingSinceMs;
    private boolean diskReady = true;
    private long confirmedRound;
    private double heardMs;
    private double laggingSinceMs = Double.NaN;
    private double sentMs = Double.NEGATIVE_INFINITY;

    Replica(Member member, double nowMs) {
        this.member = member;
        this.heardMs = nowMs;
    }

    Member member() {
        return member;
    }

    String identity() {
        return member.identity();
    }

    /** The state it holds, as last heard. */
    StateTag tag() {
        return tag;
    }

    EpochNumber promised() {
        return promised;
    }

    boolean leaving() {
        return leaving;
    }

    /** For how long it has been about to end. */
    double leavingMs(double nowMs) {
        return nowMs - leavingSinceMs;
    }

    private void noteLeaving(boolean now, double nowMs) {
        if (now && !leaving) {
            leavingSinceMs = nowMs;
        }
        leaving = now;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    double silentMs(double nowMs) {
        return nowMs - heardMs;
    }

    /** Whether it has accepted the record and knows that it stands. */
    boolean knows(EpochNumber number) {
        return accepted.equals(number) && settled;
    }

    /** Whether its disk did what was asked of it lately. */
    boolean diskReady() {
        return diskReady;
    }

    /** Whether nothing speaks against its being in sync. */
    boolean healthy() {
        return diskReady && !leaving;
    }

    /** A primary that begins knows of it only since then, or since the time given. */
    void heardLast(double atMs) {
        heardMs = atMs;
    }

    /** How long it has lacked the target state. */
    double laggingMs(double nowMs) {
        return Double.isNaN(laggingSinceMs) ? 0 : nowMs - laggingSinceMs;
    }

    boolean maySend(double nowMs) {
        return nowMs - sentMs >= (diskReady ? RESEND_MS : RESEND_TO_FAILING_MS);
    }

    void sent(double nowMs) {
        sentMs = nowMs;
    }

    /** There is a new state to be held. */
    void aimAt(StateTag target, double nowMs) {
        sentMs = Double.NEGATIVE_INFINITY;
        laggingSinceMs = tag.equals(target) ? Double.NaN : nowMs;
    }

    /** A new epoch begins: what was confirmed of the one before is void. */
    void beginEpoch(double nowMs) {
        confirmedRound = 0;
        settled = false;
        accepted = EpochNumber.NONE;
        sentMs = Double.NEGATIVE_INFINITY;
        laggingSinceMs = nowMs;
    }

    void onPromise(Promise promise, double nowMs) {
        heardMs = nowMs;
        promised = promise.number();
        tag = promise.tag();
        noteLeaving(promise.leaving(), nowMs);
        diskReady = true;
    }

    void onStatus(Status status, EpochNumber number, StateTag target, double nowMs) {
        heardMs = nowMs;
        promised = status.promised();
        learnTag(status.tag(), number, target);
    }

    void onHeartbeatReply(HeartbeatReply reply, EpochNumber number, StateTag target, double nowMs) {
        heardMs = nowMs;
        promised = reply.promised();
        accepted = reply.accepted();
        settled = reply.settled();
        noteLeaving(reply.leaving(), nowMs);
        diskReady = reply.diskReady();
        if (reply.number().equals(number) && reply.promised().equals(number)) {
            confirmedRound = Math.max(confirmedRound, reply.round());
        }
        learnTag(reply.tag(), number, target);
    }

    void onStateReply(StateReply reply, EpochNumber number, StateTag target, double nowMs) {
        heardMs = nowMs;
        promised = reply.promised();
        diskReady = reply.result() != StateResult.DISK_FAILED;
        StateTag before = tag;
        learnTag(reply.held(), number, target);
        if (diskReady && !tag.equals(before)) {
            sentMs = Double.NEGATIVE_INFINITY;
        }
    }

    /** Tags of the present epoch only grow; what says otherwise is late. */
    private void learnTag(StateTag heard, EpochNumber number, StateTag target) {
        boolean current = tag.epoch() == number.counter();
        if (!current || heard.compareTo(tag) > 0) {
            tag = heard;
        }
        if (tag.equals(target)) {
            laggingSinceMs = Double.NaN;
        }
    }
}
