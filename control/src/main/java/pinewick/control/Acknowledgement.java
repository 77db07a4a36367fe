package pinewick.control;

/** How a heartbeat or the deregistration of a replica ended. */
enum Acknowledgement {
    /** It is known as far as it has to be; the replica may rely on it. */
    HELD,
    /** Taken, but no other controller has confirmed it in time; the replica should tell another controller too. */
    NOT_CONFIRMED
}
