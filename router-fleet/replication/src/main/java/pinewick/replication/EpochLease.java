package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The lease of a primary: how long it may rely on being the only one. A heartbeat that a quorum has answered under the
 * epoch's number confirms the epoch as of the time when the heartbeat was <em>sent</em>. A witness that answered it
 * rejects every other proposer until it has had no contact with the primary for a while, so no other epoch can be
 * established before the lease expires.
 *
 * <p>The lease counts steady time, so that a process that was frozen finds its lease expired. The time-outs of the
 * primary itself count active time ({@link ActiveClock}), so that a freeze alone does not make it step down. Control
 * loop only.
 */
final class EpochLease {
    /** How long the lease is valid after a confirmed heartbeat was sent. */
    static final double LEASE_DURATION_MS = 700;

    /** How long a confirmation by a quorum counts as recent, active time. */
    private static final double RECENTLY_CONFIRMED_MS = 600;

    private static final int MAX_TRACKED_HEARTBEATS = 32;

    private record SentHeartbeat(long sequence, double sentSteadyMs) {}

    private final ActiveClock clock;
    private final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
    private long confirmedHeartbeat;
    private double confirmedActiveMs;
    private double confirmedSteadyMs = Double.NEGATIVE_INFINITY;

    EpochLease(ActiveClock clock) {
        this.clock = clock;
        this.confirmedActiveMs = clock.activeMs();
    }

    void onHeartbeatSent(long sequence) {
        sentHeartbeats.add(new SentHeartbeat(sequence, clock.steadyMs()));
        if (sentHeartbeats.size() > MAX_TRACKED_HEARTBEATS) {
            sentHeartbeats.remove();
        }
    }

    /** A quorum has answered this heartbeat, which confirms every earlier one too. */
    void onHeartbeatConfirmed(long sequence) {
        if (sequence <= confirmedHeartbeat) {
            return;
        }
        confirmedHeartbeat = sequence;
        confirmedActiveMs = clock.activeMs();
        while (!sentHeartbeats.isEmpty() && sentHeartbeats.peek().sequence <= sequence) {
            confirmedSteadyMs = sentHeartbeats.remove().sentSteadyMs;
        }
    }

    /** Sequence number of the newest heartbeat that a quorum has answered, 0 for none. */
    long confirmedHeartbeat() {
        return confirmedHeartbeat;
    }

    /** Active time since a heartbeat was last confirmed, or since the epoch began. */
    double sinceConfirmationMs() {
        return clock.activeMs() - confirmedActiveMs;
    }

    boolean isRecentlyConfirmed() {
        return sinceConfirmationMs() < RECENTLY_CONFIRMED_MS;
    }

    /**
     * When the newest heartbeat to which a quorum has replied was sent, steady time; {@link Double#NEGATIVE_INFINITY}
     * for none. No later epoch was chosen before that time, regardless of the clocks of other processes: the quorum
     * that chooses one shares a witness with the quorum that replied, and that witness had promised nothing higher when
     * it replied.
     */
    double confirmedSteadyMs() {
        return confirmedSteadyMs;
    }

    /** When the lease expires, steady time; no other process can be primary before. */
    double expirySteadyMs() {
        return confirmedSteadyMs + LEASE_DURATION_MS;
    }
}
