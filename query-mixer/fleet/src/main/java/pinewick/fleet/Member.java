package pinewick.fleet;

/**
 * What one mixer holds of one member. {@link #takes} merges what was said of it: the higher of two by incarnation, then
 * by standing, so that the order in which news comes, and whether it comes twice, makes no difference.
 */
final class Member {
    final int place;
    MemberState standing = MemberState.UNHEARD;
    long incarnation;
    /**
     * Only while suspected: when the first ping went out that it left unanswered or, if later, when anybody last heard
     * it. Of two the later prevails, as the sign of life that it is.
     */
    double silentSince = Double.NEGATIVE_INFINITY;
    /** Who noticed, each once, as many as count. */
    int[] accusers = new int[0];
    /** When a datagram of its own last came. */
    double heardAt = Double.NEGATIVE_INFINITY;
    /** What it adds to the sums of the view, and whether it counts as live and as a suspect there. */
    long mark;

    boolean counted;
    boolean suspect;
    /** Whether its view differed from this mixer's when it last sent something. */
    boolean otherView;
    /** When it last took part, for one that no longer does. */
    double endedAt = Double.POSITIVE_INFINITY;

    Member(int place) {
        this.place = place;
    }

    /** Whether this would tell something new of it. */
    boolean newer(MemberState said, long at) {
        return at > incarnation || (at == incarnation && said.compareTo(standing) > 0);
    }

    /** Takes what was said, if it is newer. Returns whether it was. */
    boolean takes(double now, MemberState said, long at) {
        if (!newer(said, at)) {
            return false;
        }
        if (!said.takesPart() && (standing.takesPart() || standing == MemberState.UNHEARD)) {
            endedAt = now;
        } else if (said.takesPart()) {
            endedAt = Double.POSITIVE_INFINITY;
        }
        if (said != MemberState.SUSPECT || at > incarnation) {
            accusers = new int[0];
            silentSince = Double.NEGATIVE_INFINITY;
        }
        standing = said;
        incarnation = at;
        return true;
    }

    /** A sign of life of a suspect. Returns whether that is news, by a quarter of a second or more. */
    boolean livedAt(double time) {
        boolean news = time >= silentSince + 0.25;
        silentSince = Math.max(silentSince, time);
        return news;
    }

    /** One more who noticed that a suspect is silent. Returns whether that adds anything, up to so many. */
    boolean accused(double since, int by, int most) {
        silentSince = accusers.length == 0 ? Math.max(silentSince, since) : silentSince;
        for (int each : accusers) {
            if (each == by) {
                return false;
            }
        }
        if (accusers.length >= most) {
            return false;
        }
        accusers = java.util.Arrays.copyOf(accusers, accusers.length + 1);
        accusers[accusers.length - 1] = by;
        return true;
    }
}
