package pinewick.fleet;

/** A probe that this router makes of a member for another one that got no answer from it. */
final class IndirectProbe {
    /** The member that asked for it, and the number of its own probe. */
    final int requester;

    final int requesterNumber;
    /** From when on the requester is told that no answer came so far, and until when it is told anything. */
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

    /** Whether the requester is to be told now that there is no answer; true once. */
    boolean takeNackDue(double now) {
        boolean isDue = now >= nackAt && !nackSent;
        nackSent |= isDue;
        return isDue;
    }
}
