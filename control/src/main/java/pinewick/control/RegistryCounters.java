package pinewick.control;

/** What replicas have told this process since its start. Owned by the control loop. */
final class RegistryCounters {
    private long heartbeats;
    private long lateHeartbeats;
    private long published;
    private long endsConfirmed;
    private long endsUnconfirmed;
    private long endsAcknowledgedAlone;
    private long lapsed;

    void countHeartbeat() {
        heartbeats++;
    }

    void countLateHeartbeat() {
        lateHeartbeats++;
    }

    void countPublished() {
        published++;
    }

    void countEndConfirmed() {
        endsConfirmed++;
    }

    void countEndUnconfirmed() {
        endsUnconfirmed++;
    }

    void countEndAcknowledgedAlone() {
        endsAcknowledgedAlone++;
    }

    void countLapsed() {
        lapsed++;
    }

    /** Heartbeats taken, late ones included. */
    long heartbeats() {
        return heartbeats;
    }

    /** Heartbeats that arrived after a later one. */
    long lateHeartbeats() {
        return lateHeartbeats;
    }

    /** Records published to the fleet. */
    long published() {
        return published;
    }

    /** Announced ends that another controller has confirmed in time. */
    long endsConfirmed() {
        return endsConfirmed;
    }

    /** Announced ends that nobody has confirmed in time: the replica was sent on. */
    long endsUnconfirmed() {
        return endsUnconfirmed;
    }

    /** Announced ends acknowledged without another controller, because there was none. */
    long endsAcknowledgedAlone() {
        return endsAcknowledgedAlone;
    }

    /** Replicas that this process has found silent. */
    long lapsed() {
        return lapsed;
    }
}
