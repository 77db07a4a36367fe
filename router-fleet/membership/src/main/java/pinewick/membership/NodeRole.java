package pinewick.membership;

/** The role of a process of the fleet. */
public enum NodeRole {
    /** A process of the data plane. */
    ROUTER,
    /** A process of the control plane. */
    CONTROLLER
}
