package pinewick.control;

import java.util.Optional;
import pinewick.model.SocketAddress;

/** When replicas were last heard from, and by which controller. */
interface HeartbeatTimes {
    /** Result for an instance that no controller has heard from since this process started. */
    double NEVER = Double.NEGATIVE_INFINITY;

    /** The last time an instance was heard from, in this process's steady milliseconds, or {@link #NEVER}. */
    double lastHeardMs(String instanceId);

    /** The other controller that heard an instance last, empty if it was this process or nobody. */
    Optional<SocketAddress> lastHeardBy(String instanceId);
}
