package pinewick.model;

/** The lifecycle of one replica instance. An instance never returns to an earlier state. */
public enum ReplicaState {
    /** Accepts requests. */
    READY,
    /** Shuts down gracefully: completes running requests and accepts no new ones. */
    DRAINING,
    /** Has deregistered. */
    GONE
}
