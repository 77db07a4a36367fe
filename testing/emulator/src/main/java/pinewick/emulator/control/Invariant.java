package pinewick.emulator.control;

/** The invariants of every run. */
public enum Invariant {
    /** An acknowledged change stays in force until another one is based on it. */
    ACKNOWLEDGED_IS_DURABLE,
    /** At most one change of each base version is ever in force. */
    ONE_SUCCESSOR,
    /** A configuration in force is valid, and exactly what an operator sent. */
    AS_SENT,
    /** A change that was rejected with 400 or 412 is never in force. */
    REJECTED_STAYS_OUT,
    /** A change that was acknowledged, or that is valid for the newest version, is not rejected. */
    NOT_WRONGLY_REJECTED,
    /** Acknowledgements, rejections and reads are linearizable as a compare-and-set register. */
    LINEARIZABLE,
    /** A redirect leads to a controller that was recently primary. */
    REDIRECTS_TO_A_PRIMARY,
    /** Within one incarnation the configuration version of a router never decreases. */
    NO_REGRESSION,
    /** Routers in contact with the controllers have an acknowledged configuration in time. */
    ROUTERS_CURRENT,
    /** A configuration that a process considers the newest as of some time was the newest acknowledged one then. */
    CONFIRMED_WAS_NEWEST,
    /** Routers in contact with the controllers know of an acknowledged drain in time. */
    DRAIN_KNOWN,
    /** Within one incarnation a process never reverts a removal. */
    DRAIN_IS_PERMANENT,
    /** One lease holder per fencing token, rising tokens, and a delay between two lease holders. */
    ONE_LEASE_HOLDER,
    /** The members change only by a majority of the old members and of the new ones. */
    MEMBERS_BY_MAJORITY,
    /** A process that exits as detached leaves enough stores with the newest configuration. */
    ENOUGH_STORES_LEFT,
    /** With a healthy majority an operator's change is acknowledged in time. */
    ACKNOWLEDGED_IN_TIME,
    /** With a healthy majority an operator's read gets a response in time. */
    READ_IN_TIME,
    /** No part of the control plane fails with an exception. */
    NO_FAILURE
}
