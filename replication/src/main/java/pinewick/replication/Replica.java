package pinewick.replication;

import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.StateResult;
import pinewick.replication.ReplicationMessages.Status;

/** What a primary knows of another store. Times are those of {@link ActiveClock#activeMs}. */
final class Replica {
    /** What was not confirmed is sent again after this long. */
    private static final double RESEND_MS = 200;

    /** The same for a whole state, doubled each time: it may be large, and its link slow. */
    private static final double RESEND_WHOLE_MS = 400;

    private static final double LONGEST_RESEND_WHOLE_MS = 1_600;

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
    private long newestAnswered;
    private double heardMs;
    private double laggingSinceMs = Double.NaN;
    private StateTag sentTag = StateTag.NONE;
    private double awaitedSinceMs = Double.NEGATIVE_INFINITY;
    private double resendMs = RESEND_MS;
    private double nextResendWholeMs = RESEND_WHOLE_MS;

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

    /** Whether something was sent to it that it may yet confirm. */
    boolean isAwaited(double nowMs) {
        double longestMs = diskReady ? resendMs : Math.max(resendMs, RESEND_TO_FAILING_MS);
        return sentTag.compareTo(tag) > 0 && nowMs - awaitedSinceMs < longestMs;
    }

    /** The state that it will hold once all that is on its way has arrived. */
    StateTag expectedTag(double nowMs) {
        return isAwaited(nowMs) ? sentTag : tag;
    }

    /** Changes up to a state were sent. */
    void sentChanges(StateTag upTo, double nowMs) {
        if (!isAwaited(nowMs)) {
            awaitedSinceMs = nowMs;
            resendMs = RESEND_MS;
        }
        sentTag = upTo;
    }

    /** A whole state was sent. */
    void sentWhole(StateTag whole, double nowMs) {
        sentTag = whole;
        awaitedSinceMs = nowMs;
        resendMs = nextResendWholeMs;
        nextResendWholeMs = Math.min(2 * nextResendWholeMs, LONGEST_RESEND_WHOLE_MS);
    }

    /** There is a new state to be held. */
    void aimAt(StateTag target, double nowMs) {
        laggingSinceMs = tag.equals(target) ? Double.NaN : nowMs;
    }

    /** A new epoch begins: what was confirmed of the one before is void. */
    void beginEpoch(double nowMs) {
        confirmedRound = 0;
        settled = false;
        accepted = EpochNumber.NONE;
        sentTag = StateTag.NONE;
        nextResendWholeMs = RESEND_WHOLE_MS;
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
        promised = status.promised();
        learnTag(status.tag(), number, target, nowMs);
    }

    /**
     * An answer that a later one has overtaken tells nothing. Silence counts from the question: an answer that was long
     * on its way does not show that the other still runs.
     *
     * @param askedMs when the heartbeat that is answered was sent
     */
    void onHeartbeatReply(HeartbeatReply reply, EpochNumber number, StateTag target, double askedMs, double nowMs) {
        long round = reply.request().sequence();
        if (round < newestAnswered) {
            return;
        }
        boolean leavingBefore = round == newestAnswered && leaving;
        newestAnswered = round;
        heardMs = Math.max(heardMs, askedMs);
        promised = reply.promised();
        learnRecord(reply.accepted(), reply.settled());
        noteLeaving(reply.leaving() || leavingBefore, nowMs);
        diskReady = reply.diskReady();
        if (reply.number().equals(number) && reply.promised().equals(number)) {
            confirmedRound = Math.max(confirmedRound, round);
        }
        learnTag(reply.tag(), number, target, nowMs);
    }

    /** What a store knows of a record it does not unlearn; two answers to one round may have passed each other. */
    private void learnRecord(EpochNumber number, boolean stands) {
        if (number.equals(accepted)) {
            settled |= stands;
        } else if (number.isAfter(accepted)) {
            accepted = number;
            settled = stands;
        }
    }

    void onStateReply(StateReply reply, EpochNumber number, StateTag target, double nowMs) {
        promised = reply.promised();
        diskReady = reply.result() != StateResult.DISK_FAILED;
        learnTag(reply.held(), number, target, nowMs);
    }

    /** Tags of the present epoch only grow; what says otherwise is late. */
    private void learnTag(StateTag heard, EpochNumber number, StateTag target, double nowMs) {
        boolean current = tag.epoch() == number.counter();
        if (!current || heard.compareTo(tag) > 0) {
            noteProgress(heard, nowMs);
            tag = heard;
        }
        if (tag.equals(target)) {
            laggingSinceMs = Double.NaN;
        }
    }

    private void noteProgress(StateTag heard, double nowMs) {
        if (!heard.equals(tag)) {
            awaitedSinceMs = nowMs;
            resendMs = RESEND_MS;
            nextResendWholeMs = RESEND_WHOLE_MS;
        }
    }
}
