package pinewick.fleet;

/**
 * State of a member in a membership view. At the same incarnation the later enum value takes precedence; a higher
 * incarnation takes precedence over any state at a lower one (SWIM, DSN 2002, section 4.2). Unlike in SWIM, a
 * death is bound to an incarnation, so that a member that was partitioned for a while can rejoin without a
 * restart.
 */
public enum MemberState {
    /** Listed, but not heard from since this router started. */
    UNHEARD,
    ALIVE,
    /** Does not answer probes; it has time to refute the suspicion. */
    SUSPECT,
    /** Declared dead: crashed, partitioned or silent for too long. */
    DEAD,
    /** Announced its own shutdown. */
    LEFT;

    /** Whether the member is alive or suspect: it is probed and receives gossip. */
    public boolean isActive() {
        return this == ALIVE || this == SUSPECT;
    }
}
