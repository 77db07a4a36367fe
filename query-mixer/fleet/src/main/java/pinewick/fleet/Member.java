package pinewick.fleet;

/**
 * State of one member in this router's view. {@link #merge} keeps the higher of two states by incarnation, then by
 * state, so that neither the order nor the repetition of updates matters.
 */
final class Member {
    final int index;
    MemberState state = MemberState.UNHEARD;
    long incarnation;
    /**
     * Only while suspect: the time at which the first unanswered ping was sent or, if later, at which any member
     * last heard from it. The later of two values takes precedence, as it is evidence that the member was alive.
     * Seconds.
     */
    double silentSince = Double.NEGATIVE_INFINITY;
    /** Indexes of the distinct members that noticed the silence, up to the number that counts. */
    int[] accusers = new int[0];
    /** Time of the last datagram received from this member, in seconds. */
    double lastHeardAt = Double.NEGATIVE_INFINITY;
    /**
     * Contribution to the digest and the checksums of the view, and whether the member is counted as live and as
     * suspect.
     */
    long digestContribution;

    boolean countedAsLive;
    boolean countedAsSuspect;
    /** Whether its view differed from this router's in its last datagram. */
    boolean hasDivergentView;
    /** Time at which the member became dead or left, in seconds; infinite while it is active. */
    double inactiveSince = Double.POSITIVE_INFINITY;

    Member(int index) {
        this.index = index;
    }

    /** Whether this state and incarnation take precedence over the known ones. */
    boolean supersedes(MemberState newState, long newIncarnation) {
        return newIncarnation > incarnation || (newIncarnation == incarnation && newState.compareTo(state) > 0);
    }

    /** Merges a reported state. Returns whether it took precedence. */
    boolean merge(double now, MemberState newState, long newIncarnation) {
        if (!supersedes(newState, newIncarnation)) {
            return false;
        }
        if (!newState.isActive() && (state.isActive() || state == MemberState.UNHEARD)) {
            inactiveSince = now;
        } else if (newState.isActive()) {
            inactiveSince = Double.POSITIVE_INFINITY;
        }
        if (newState != MemberState.SUSPECT || newIncarnation > incarnation) {
            accusers = new int[0];
            silentSince = Double.NEGATIVE_INFINITY;
        }
        state = newState;
        incarnation = newIncarnation;
        return true;
    }

    /**
     * Records evidence that a suspect was alive at a time. Returns whether it is later than the known time by at
     * least 0.25 s.
     */
    boolean recordSignOfLife(double time) {
        boolean isNewer = time >= silentSince + 0.25;
        silentSince = Math.max(silentSince, time);
        return isNewer;
    }

    /** Adds an accuser of a suspect. Returns whether it was new and fewer than the maximum were known. */
    boolean addAccuser(double since, int accuser, int maxAccusers) {
        silentSince = accusers.length == 0 ? Math.max(silentSince, since) : silentSince;
        for (int each : accusers) {
            if (each == accuser) {
                return false;
            }
        }
        if (accusers.length >= maxAccusers) {
            return false;
        }
        accusers = java.util.Arrays.copyOf(accusers, accusers.length + 1);
        accusers[accusers.length - 1] = accuser;
        return true;
    }
}
