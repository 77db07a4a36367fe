package pinewick.replication;

/** Variants with a deliberate fault, each of which must violate an invariant. */
enum Mutant {
    /** The code without a deliberate fault. */
    NONE,
    /** A store that lost its data votes as if it still had them. */
    VOTES_ON_AN_EMPTY_DISK,
    /** Writes are confirmed before they are durable. */
    CONFIRMS_BEFORE_WRITING,
    /** A resent change is rejected because its base is no longer current, although it was accepted. */
    REJECTS_A_RESENT_CHANGE,
    /** Reads are served from memory, without confirming that the epoch is still current. */
    READS_FROM_MEMORY,
    /** Changes are rejected without confirming that the epoch is still current. */
    REJECTS_WITHOUT_CONFIRMATION,
    /** A witness promises without storing it, and goes on confirming changes of the previous epoch. */
    LOSES_A_PROMISE
}
