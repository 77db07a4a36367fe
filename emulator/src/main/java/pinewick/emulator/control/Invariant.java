package pinewick.emulator.control;

/** What must hold in every run. */
public enum Invariant {
    /** A change that was acknowledged stays in force until another one builds upon it. */
    ACKNOWLEDGED_IS_KEPT,
    /** One change a base version is ever in force. */
    ONE_SUCCESSOR,
    /** What is in force is valid, and exactly what an operator sent. */
    AS_SENT,
    /** What was answered with 400 or 412 is never in force. */
    REFUSED_STAYS_OUT,
    /** A change that was acknowledged, or that is valid upon the newest version, is not refused. */
    NOT_WRONGLY_REFUSED,
    /** Acknowledgements, refusals and reads fit a compare-and-set register. */
    LINEARIZABLE,
    /** A redirection leads to a controller that led lately. */
    REDIRECTS_TO_A_PRIMARY,
    /** Within one life a router's configuration never goes back. */
    NO_REGRESS,
    /** Routers in touch have an acknowledged configuration in time. */
    ROUTERS_CURRENT,
    /** Routers in touch know an acknowledged drain in time. */
    DRAIN_KNOWN,
    /** Within one life a process never takes an announced end back. */
    DRAIN_STAYS,
    /** One holder a fencing token, rising tokens, and a pause between two holders. */
    ONE_HOLDER,
    /** The set of members changes by a majority of the old members and of the new ones. */
    MEMBERS_BY_MAJORITY,
    /** A process that ends on purpose, and says that the others can do without it, leaves enough copies. */
    COPIES_LEFT,
    /** With a healthy majority an operator's change is acknowledged in time. */
    ACKNOWLEDGED_IN_TIME,
    /** With a healthy majority an operator's read is answered in time. */
    READ_IN_TIME,
    /** No part of the control side fails with an exception. */
    NO_FAILURE
}
