package pinewick.fleet;

/** A probe that this router makes of a member for another one that got no answer from it. */
final class IndirectProbe {
    /** The member that asked for it, and the number of its own probe. */
    final int requester;

    final int requesterNumber;
    /** From when on the requester is told that no answer came so far, and until when it is told anything. */
    private final double reportAt;

    private final double endsAt;
    private boolean reported;

    IndirectProbe(int requester, int requesterNumber, double now, MembershipSettings terms) {
        this.requester = requester;
        this.requesterNumber = requesterNumber;
        reportAt = now + terms.again();
        endsAt = now + terms.probe();
    }

    boolean over(double now) {
        return now >= endsAt;
    }

    /** Whether the requester is to be told now that there is no answer; true once. */
    boolean reportDue(double now) {
        boolean due = now >= reportAt && !reported;
        reported |= due;
        return due;
    }
}
