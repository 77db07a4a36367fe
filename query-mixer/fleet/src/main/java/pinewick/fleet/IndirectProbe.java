package pinewick.fleet;

/** A probe of a member on behalf of another member that got no answer from it. */
final class IndirectProbe {
    /** Index of the member that requested the probe, and the number of its own probe. */
    final int requester;

    final int requesterNumber;
    /**
     * Time from which the requester gets a negative acknowledgement if there was no response yet, and time after
     * which it gets none.
     */
    private final double nackAt;

    private final double expiresAt;
    private boolean nackSent;

    IndirectProbe(int requester, int requesterNumber, double now, MembershipSettings settings) {
        this.requester = requester;
        this.requesterNumber = requesterNumber;
        nackAt = now + settings.pingRetrySeconds();
        expiresAt = now + settings.probeTimeoutSeconds();
    }

    boolean isExpired(double now) {
        return now >= expiresAt;
    }

    /** Whether a negative acknowledgement is due now; returns true only once. */
    boolean takeNackDue(double now) {
        boolean isDue = now >= nackAt && !nackSent;
        nackSent |= isDue;
        return isDue;
    }
}
