package pinewick.control;

/** The result of processing a heartbeat or deregistration of a replica. */
enum Acknowledgement {
    /** As many controllers as required know the new state; the replica may rely on it. */
    CONFIRMED,
    /**
     * The new state is recorded here, but no other controller confirmed it in time; the replica should also call
     * another controller.
     */
    NOT_CONFIRMED
}
