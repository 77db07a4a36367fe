package pinewick.fleet;

/**
 * What one mixer holds of one member. {@link #takes} merges what was said of it: the higher of two by incarnation, then
 * by standing, so that the order in which news comes, and whether it comes twice, makes no difference.
 */
final class Member {
    final int index;
    MemberState state = MemberState.UNHEARD;
    long incarnation;
    /**
     * Only while suspected: when the first ping went out that it left unanswered or, if later, when anybody last heard
     * it. Of two the later prevails, as the sign of life that it is.
     */
    double silentSince = Double.NEGATIVE_INFINITY;
    /** Who noticed, each once, as many as count. */
    int[] accusers = new int[0];
    /** When a datagram of its own last came. */
    double lastHeardAt = Double.NEGATIVE_INFINITY;
    /** What it adds to the sums of the view, and whether it counts as live and as a suspect there. */
    long digestContribution;

    boolean countedAsLive;
    boolean countedAsSuspect;
    /** Whether its view differed from this mixer's when it last sent something. */
    boolean hasDivergentView;
    /** When it last took part, for one that no longer does. */
    double inactiveSince = Double.POSITIVE_INFINITY;

    Member(int index) {
        this.index = index;
    }

    /** Whether this would tell something new of it. */
    boolean supersedes(MemberState newState, long newIncarnation) {
        return newIncarnation > incarnation || (newIncarnation == incarnation && newState.compareTo(state) > 0);
    }

    /** Takes what was said, if it is newer. Returns whether it was. */
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

    /** A sign of life of a suspect. Returns whether that is news, by a quarter of a second or more. */
    boolean recordSignOfLife(double time) {
        boolean isNewer = time >= silentSince + 0.25;
        silentSince = Math.max(silentSince, time);
        return isNewer;
    }

    /** One more who noticed that a suspect is silent. Returns whether that adds anything, up to so many. */
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
