package pinewick.dissemination;

import java.util.ArrayList;
import java.util.List;
import pinewick.membership.MembershipMessages;
import pinewick.membership.OutstandingRequests;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.model.WireName;

/** The messages of configuration and replica dissemination. */
public final class FleetMessages {
    private FleetMessages() {}

    /**
     * The message types of membership and dissemination, including the types of their components. The position is
     * the type id on the wire, so types may only be appended.
     */
    public static List<Class<?>> types() {
        List<Class<?>> types = new ArrayList<>(MembershipMessages.types());
        types.addAll(List.of(
                ReplicaState.class,
                Stage.class,
                ReplicaRecord.ModelVersion.class,
                ReplicaRecord.class,
                Digest.class,
                DigestRequest.class,
                DigestReply.class,
                ConfigurationUpdate.class,
                ConfigurationPull.class,
                GossipedReplica.class,
                ReplicaUpdate.class,
                ReplicaUpdateAck.class,
                BucketHashes.class,
                SummaryEntry.class,
                ReplicaSummary.class,
                ReplicaRequest.class,
                SnapshotRequest.class,
                ReplicaSnapshot.class,
                ExpiredReplicas.class,
                HeartbeatReport.class,
                HeartbeatBatch.class));
        return types;
    }

    /**
     * Message types that were added later. Programs register types of their own after {@link #types}, and the ids of
     * those must not change, so the types of this list get their ids separately, by their position in it. This list
     * must not grow: in every program the quota messages follow, and new types have to come after those.
     */
    public static List<Class<?>> laterTypes() {
        return List.of(ConfirmationRequest.class, ConfirmationReply.class);
    }

    /**
     * A digest of the state of the sender.
     *
     * @param configurationVersion version of its configuration
     * @param replicaCount number of its replica records, without those of replicas that have been gone for a long time
     * @param replicaHash sum of the hashes of these records
     * @param synchronised whether it has completed its bootstrap
     * @param confirmedAgeMs upper bound of the time since a controller in contact with a quorum had no newer
     *     configuration, milliseconds; {@link QuorumConfirmation#NEVER} if the sender knows of no such time
     */
    public record Digest(
            long configurationVersion, int replicaCount, long replicaHash, boolean synchronised, int confirmedAgeMs)
            implements Message {}

    /** Requests the digest of the receiver. */
    public record DigestRequest(long requestId) implements Message {}

    /**
     * The reply to a {@link DigestRequest}.
     *
     * @param routerUpperBound the highest upper bound of the number of routers that the sender has had recently
     */
    public record DigestReply(long requestId, Digest digest, int routerUpperBound) implements Message {}

    /**
     * A configuration update, or only the announcement of a version.
     *
     * @param inReplyTo request id of the pull that this replies to, {@link OutstandingRequests#NO_REQUEST} for a push
     * @param baseVersion the version to which {@code body} applies, 0 for a full document
     * @param version the resulting version
     * @param body the delta, as encoded by {@link pinewick.model.ConfigurationChecks#writeDelta}; empty for an
     *     announcement, after which the receiver pulls the configuration
     */
    public record ConfigurationUpdate(@WireName("answerTo") long inReplyTo, long baseVersion, long version, byte[] body)
            implements Message {
        /**
         * Returns a copy that replies to the pull with this request id, {@link OutstandingRequests#NO_REQUEST} for
         * a push.
         */
        ConfigurationUpdate withInReplyTo(long requestId) {
            return new ConfigurationUpdate(requestId, baseVersion, version, body);
        }
    }

    /** Requests the newest configuration as a delta from the version that the sender has. */
    public record ConfigurationPull(long requestId, long knownVersion) implements Message {}

    /**
     * A gossiped replica record.
     *
     * @param tombstoneAgeMs how long the replica has been known to be gone, milliseconds; 0 for any other replica
     */
    public record GossipedReplica(ReplicaRecord record, @WireName("goneAgeMs") int tombstoneAgeMs) {}

    /**
     * Replica records.
     *
     * @param ackId id of the {@link ReplicaUpdateAck} that the receiver has to send, {@link
     *     OutstandingRequests#NO_REQUEST} for no acknowledgement
     */
    public record ReplicaUpdate(long ackId, List<GossipedReplica> records) implements Message {}

    /** Acknowledges that the sender has merged the records of the update with this id. */
    public record ReplicaUpdateAck(long ackId) implements Message {}

    /** The sum of the record hashes of each bucket, 32 bits per bucket. */
    public record BucketHashes(byte[] hashes) implements Message {}

    /** The content hash of a replica record. */
    public record SummaryEntry(String instanceId, int contentHash) {}

    /**
     * The hashes of some of the sender's replica records, among them all records in some buckets.
     *
     * @param buckets bit set of the buckets of which every record is listed
     */
    public record ReplicaSummary(byte[] buckets, List<SummaryEntry> entries) implements Message {}

    /** Requests the records of some instances. */
    public record ReplicaRequest(List<String> instanceIds) implements Message {}

    /** Requests all replica records. */
    public record SnapshotRequest(long requestId) implements Message {}

    /** The reply to a {@link SnapshotRequest}: all replica records of the sender. */
    public record ReplicaSnapshot(long requestId, List<GossipedReplica> records) implements Message {}

    /** Instances that were removed so long ago that their tombstones have expired at the sender. */
    public record ExpiredReplicas(List<String> instanceIds) implements Message {}

    /**
     * A heartbeat that the sender received.
     *
     * @param ageMs how long ago it was received, milliseconds
     */
    public record HeartbeatReport(String instanceId, long callSequence, int ageMs) {}

    /** The heartbeats that the sender, a controller, received since its last batch. */
    public record HeartbeatBatch(List<HeartbeatReport> reports) implements Message {}

    /** Requests the time at which the receiver's configuration was last known to be the newest. */
    public record ConfirmationRequest(long requestId) implements Message {}

    /**
     * The reply to a {@link ConfirmationRequest}.
     *
     * @param configurationVersion the version in force at the sender
     * @param ageMs time since the configuration was last known to be the newest (no higher version had been
     *     acknowledged before), milliseconds, rounded up; -1 if it never was. Measured after the request arrived.
     * @param primary internal address of the primary known to the sender, null for none
     */
    public record ConfirmationReply(long requestId, long configurationVersion, int ageMs, SocketAddress primary)
            implements Message {}
}
