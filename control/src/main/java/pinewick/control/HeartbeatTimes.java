package pinewick.control;

/** When replicas were last heard from by any controller. */
@FunctionalInterface
interface HeartbeatTimes {
    /** Result for an instance that no controller has heard from since this process started. */
    double NEVER = Double.NEGATIVE_INFINITY;

    /** The last time an instance was heard from, in this process's steady milliseconds, or {@link #NEVER}. */
    double lastHeardMs(String instanceId);
}
