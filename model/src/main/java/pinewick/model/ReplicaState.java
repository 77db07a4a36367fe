package pinewick.model;

/** The life of one replica instance. A later state is never left for an earlier one. */
public enum ReplicaState {
    /** Takes requests. */
    READY,
    /** Has announced its end: it finishes what runs and takes no new request. */
    DRAINING,
    /** Has deregistered. */
    GONE
}
