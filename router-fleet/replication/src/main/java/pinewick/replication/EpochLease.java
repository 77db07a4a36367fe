package pinewick.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How long a primary may rely on its epoch. A heartbeat that a quorum has answered under the epoch's number confirms
 * the epoch at the time when that heartbeat was <em>sent</em>: a witness that answered it rejects every other proposer
 * until it has had no contact with the primary for a while, so until the lease expires no other epoch can be
 * established.
 *
 * <p>Two clocks are kept apart. The lease counts steady time, so that a process that was frozen finds its lease
 * expired; the time-outs of the primary itself count active time ({@link ActiveClock}), so that a freeze does not make
 * it step down. Control loop only.
 */
final class EpochLease {
    /** The lease is valid for this long after a confirmed heartbeat was sent. */
    static final double LEASE_DURATION_MS = 700;

    /** A quorum has confirmed the epoch recently if it did so within this time. */
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

    /** A quorum has answered this heartbeat, and with it every earlier one. */
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

    /** For how long, active time, no further heartbeat was confirmed. */
    double sinceConfirmationMs() {
        return clock.activeMs() - confirmedActiveMs;
    }

    boolean isRecentlyConfirmed() {
        return sinceConfirmationMs() < RECENTLY_CONFIRMED_MS;
    }

    /**
     * When the newest heartbeat that a quorum has answered was sent, steady time; {@link Double#NEGATIVE_INFINITY} for
     * none. Up to then no later epoch was chosen, whatever the clocks of the others do: the quorum that chooses one has
     * a witness in common with the quorum that answered, and that witness promised nothing higher before its answer.
     */
    double confirmedSteadyMs() {
        return confirmedSteadyMs;
    }

    /** Until when, steady time, no other process can be primary. */
    double expirySteadyMs() {
        return confirmedSteadyMs + LEASE_DURATION_MS;
    }
}
