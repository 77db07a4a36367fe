package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.model.SocketAddress;

/**
 * The replicated configuration as one process sees it, for the people who run it.
 *
 * @param epoch counter of the newest epoch record known here
 * @param primary operator API of the primary, if one is known
 * @param members who has a vote by that record
 * @param inSync how many stores that record counts as in sync
 * @param faultTolerance what only the primary can tell, or why it is not told here
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
     * @param member its store
     * @param inSync whether each change must be on its disk
     * @param shuttingDown whether its process has said that it is about to end; known to the primary only
     * @param sinceContactMs for how long nothing was heard of it; known to the primary only
     */
    public record MemberReport(Member member, boolean inSync, boolean shuttingDown, OptionalDouble sinceContactMs) {}

    /**
     * How many more machines can be lost, disk included.
     *
     * @param currentStores in-sync stores that answer and hold the newest committed state
     * @param tolerableLosses how many further losses leave every acknowledged change and a quorum
     * @param unknownReason why the two are not known here, empty if they are
     * @param sufficientForMs for how long as many losses are borne as the deployment is told to tolerate
     */
    public record FaultTolerance(
            OptionalInt currentStores,
            OptionalInt tolerableLosses,
            String unknownReason,
            OptionalDouble sufficientForMs) {
        /** Nothing is known here. */
        static FaultTolerance unknown(String reason) {
            return new FaultTolerance(OptionalInt.empty(), OptionalInt.empty(), reason, OptionalDouble.empty());
        }
    }
}
