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

/** The messages of dissemination. */
public final class FleetMessages {
    private FleetMessages() {}

    /**
     * Every type that the messages of membership and dissemination are made of. The position is the type's id on the
     * wire: append only.
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
     * Types of the messages that were added later. Each program registers types of its own behind {@link #types}, whose
     * ids must not move: these have ids of their own, by their position in this list. Complete:
     * in every program the messages about limits of tenants follow, and whatever comes next has to be behind those.
     */
    public static List<Class<?>> laterTypes() {
        return List.of(ConfirmationRequest.class, ConfirmationReply.class);
    }

    /**
     * A digest of what the sender knows.
     *
     * @param configurationVersion version of its configuration
     * @param replicaCount how many replica records it has, without those of replicas that are gone for long
     * @param replicaHash sum of the hashes of these records
     * @param synchronised whether it has completed its bootstrap
     * @param confirmedAgeMs how long ago, at most, a controller in contact with a quorum had no newer configuration,
     *     milliseconds; {@link QuorumConfirmation#NEVER} if the sender knows of none
     */
    public record Digest(
            long configurationVersion, int replicaCount, long replicaHash, boolean synchronised, int confirmedAgeMs)
            implements Message {}

    /** Asks for the receiver's digest. */
    public record DigestRequest(long requestId) implements Message {}

    /**
     * Answers a {@link DigestRequest}.
     *
     * @param routerUpperBound the highest number of routers that the sender has recently counted, as an upper bound
     */
    public record DigestReply(long requestId, Digest digest, int routerUpperBound) implements Message {}

    /**
     * A configuration, or the announcement of one.
     *
     * @param inReplyTo the id of the pull to which this is the reply, {@link OutstandingRequests#NO_REQUEST} for a push
     * @param baseVersion the version that {@code body} applies to
     * @param version the version that results
     * @param body the difference, as {@link pinewick.model.ConfigurationChecks#writeDelta} writes it; empty if the
     *     receiver is to pull it
     */
    public record ConfigurationUpdate(@WireName("answerTo") long inReplyTo, long baseVersion, long version, byte[] body)
            implements Message {
        /** The same, as the reply to a pull. */
        ConfigurationUpdate withRequestId(long requestId) {
            return new ConfigurationUpdate(requestId, baseVersion, version, body);
        }
    }

    /** Asks for the newest configuration, as a difference from one that the sender has. */
    public record ConfigurationPull(long requestId, long knownVersion) implements Message {}

    /**
     * A replica record as it is gossiped.
     *
     * @param tombstoneAgeMs for a replica that is gone: how long that has been known, milliseconds
     */
    public record GossipedReplica(ReplicaRecord record, @WireName("goneAgeMs") int tombstoneAgeMs) {}

    /**
     * Replica records.
     *
     * @param ackId to be acknowledged by {@link ReplicaUpdateAck} with the same id,
     *     {@link OutstandingRequests#NO_REQUEST} for no acknowledgement
     */
    public record ReplicaUpdate(long ackId, List<GossipedReplica> records) implements Message {}

    /** The sender has merged the records that came with this id. */
    public record ReplicaUpdateAck(long ackId) implements Message {}

    /** For each bucket of replica records the sum of their hashes, 32 bits each. */
    public record BucketHashes(byte[] hashes) implements Message {}

    /** A replica record as a hash. */
    public record SummaryEntry(String instanceId, int contentHash) {}

    /**
     * All of the sender's replica records that fall into some buckets.
     *
     * @param buckets the buckets as bits
     */
    public record ReplicaSummary(byte[] buckets, List<SummaryEntry> entries) implements Message {}

    /** Asks for the records of some instances. */
    public record ReplicaRequest(List<String> instanceIds) implements Message {}

    /** Asks for every replica record. */
    public record SnapshotRequest(long requestId) implements Message {}

    /** Answers a {@link SnapshotRequest}: every replica record of the sender. */
    public record ReplicaSnapshot(long requestId, List<GossipedReplica> records) implements Message {}

    /** Instances that were removed so long ago that the sender no longer keeps a tombstone of them. */
    public record ExpiredReplicas(List<String> instanceIds) implements Message {}

    /**
     * A heartbeat that a controller received.
     *
     * @param ageMs how long ago, milliseconds
     */
    public record HeartbeatReport(String instanceId, long callSequence, int ageMs) {}

    /** Heartbeats that a controller received since its last batch. */
    public record HeartbeatBatch(List<HeartbeatReport> reports) implements Message {}

    /** Asks when the receiver's configuration was last known to be the newest. */
    public record ConfirmationRequest(long requestId) implements Message {}

    /**
     * Answers a {@link ConfirmationRequest}.
     *
     * @param configurationVersion the version in force at the sender
     * @param ageMs no higher version was acknowledged before this long ago, milliseconds, rounded up; -1 if that was
     *     never known. Taken after the request arrived.
     * @param primary internal address of the primary that the sender knows, null for none
     */
    public record ConfirmationReply(long requestId, long configurationVersion, int ageMs, SocketAddress primary)
            implements Message {}
}
