package pinewick.control;

import java.util.Optional;
import pinewick.model.SocketAddress;

/** When the last heartbeat of each replica was received, and by which controller. */
interface HeartbeatTimes {
    /** The time of an instance without a heartbeat since the start of this process. */
    double NEVER = Double.NEGATIVE_INFINITY;

    /**
     * When the last heartbeat of an instance was received, in monotonic milliseconds of this process, or {@link
     * #NEVER}.
     */
    double lastHeartbeatMs(String instanceId);

    /**
     * The other controller that received the last heartbeat of an instance; empty if this process received it, or if
     * there was none.
     */
    Optional<SocketAddress> lastReporter(String instanceId);
}
