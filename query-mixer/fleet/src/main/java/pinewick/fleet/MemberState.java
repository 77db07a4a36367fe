package pinewick.fleet;

/**
 * How a member stands in a view. At one incarnation the later one of two prevails; a higher incarnation prevails over
 * any standing at a lower one (SWIM, DSN 2002, section 4.2, with deaths bound to an incarnation, so that a member cut
 * off for a while can come back without a restart).
 */
public enum MemberState {
    /** Listed, but nothing was heard of it since this mixer started. */
    UNHEARD,
    ALIVE,
    /** Does not answer; it is given time to object. */
    SUSPECT,
    /** Declared dead: crashed, cut off, or silent for too long. */
    DEAD,
    /** Said itself that it stops. */
    LEFT;

    /** Whether it takes part: it is looked after, and told the news. */
    public boolean isActive() {
        return this == ALIVE || this == SUSPECT;
    }
}
