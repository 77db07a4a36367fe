package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.model.SocketAddress;

/**
 * State of the replication as one process sees it, for operators.
 *
 * @param epoch counter of the newest epoch record known here
 * @param primary operator API of the primary, if one is known
 * @param members the members that this record lists
 * @param inSync how many in-sync stores this record lists
 * @param faultTolerance the tolerable losses, which only the primary knows, or why they are unknown here
 */
public record ReplicationReport(
        long epoch,
        Optional<SocketAddress> primary,
        List<MemberReport> members,
        int inSync,
        FaultTolerance faultTolerance) {
    public ReplicationReport {
        members = List.copyOf(members);
    }

    /**
     * One member.
     *
     * @param member the member
     * @param inSync whether its store must have each change on disk before the change is acknowledged
     * @param shuttingDown whether its process reported that it is shutting down; false where this process is not the
     *     primary
     * @param sinceContactMs time since the last contact with it, milliseconds; empty where this process is not the
     *     primary
     */
    public record MemberReport(Member member, boolean inSync, boolean shuttingDown, OptionalDouble sinceContactMs) {}

    /**
     * How many more machines, disks included, can be lost without losing an acknowledged change or the quorum.
     *
     * @param currentStores in-sync stores that are responsive and have the newest committed state
     * @param tolerableLosses how many more machines can be lost while every acknowledged change and a quorum survive
     * @param unknownReason why the two are unknown here, an empty string if they are known
     * @param sufficientForMs for how long, milliseconds, at least as many losses as the deployment requires have been
     *     tolerable; empty if they are not
     */
    public record FaultTolerance(
            OptionalInt currentStores,
            OptionalInt tolerableLosses,
            String unknownReason,
            OptionalDouble sufficientForMs) {
        /** The values are unknown to this process, for this reason. */
        static FaultTolerance unknown(String reason) {
            return new FaultTolerance(OptionalInt.empty(), OptionalInt.empty(), reason, OptionalDouble.empty());
        }
    }
}
