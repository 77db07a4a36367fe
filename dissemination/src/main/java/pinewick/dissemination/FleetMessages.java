package pinewick.dissemination;

import java.util.ArrayList;
import java.util.List;
import pinewick.membership.MembershipMessages;
import pinewick.membership.OutstandingRequests;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Stage;

/** The messages of dissemination. */
public final class FleetMessages {
    private FleetMessages() {}

    /** Every type that the messages of membership and dissemination are made of, in the order of their ids. */
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
                SpreadRecord.class,
                ReplicaUpdate.class,
                ReplicaHeld.class,
                BucketHashes.class,
                SummaryEntry.class,
                ReplicaSummary.class,
                ReplicaRequest.class,
                SnapshotRequest.class,
                ReplicaSnapshot.class,
                ForgottenReplicas.class,
                HeartbeatNote.class,
                HeartbeatBatch.class));
        return types;
    }

    /**
     * What the sender knows, in short.
     *
     * @param configurationVersion version of its configuration
     * @param replicaCount how many replica records it has, those of replicas long gone left out
     * @param replicaHash sum of the hashes of these records
     * @param synchronised whether it has caught up since its start
     * @param confirmedAgeMs how long ago, at most, a controller in contact with a quorum held no newer configuration,
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
     * @param routerBound the highest number of routers that the sender has counted lately, as an upper bound
     */
    public record DigestReply(long requestId, Digest digest, int routerBound) implements Message {}

    /**
     * Tells of a configuration.
     *
     * @param answerTo the id of the pull that this answers, {@link OutstandingRequests#UNASKED} for a push
     * @param baseVersion the version that {@code body} applies to
     * @param version the version it leads to
     * @param body the difference, as {@link pinewick.model.ConfigurationChecks#writeDelta} writes it; empty
     * if the receiver is to ask for it
     */
    public record ConfigurationUpdate(long answerTo, long baseVersion, long version, byte[] body) implements Message {
        /** The same, as the answer to a pull. */
        ConfigurationUpdate inAnswerTo(long requestId) {
            return new ConfigurationUpdate(requestId, baseVersion, version, body);
        }
    }

    /** Asks for the newest configuration, as a difference from one that the sender has. */
    public record ConfigurationPull(long requestId, long haveVersion) implements Message {}

    /**
     * A replica record on its way.
     *
     * @param goneAgeMs for a replica that is gone: how long it has been known to be, milliseconds
     */
    public record SpreadRecord(ReplicaRecord record, int goneAgeMs) {}

    /**
     * Replica records.
     *
     * @param ackId to be confirmed by {@link ReplicaHeld} with the same id, {@link OutstandingRequests#UNASKED} for no
     *     confirmation
     */
    public record ReplicaUpdate(long ackId, List<SpreadRecord> records) implements Message {}

    /** The sender holds the records that came with that number. */
    public record ReplicaHeld(long ackId) implements Message {}

    /** For each bucket of replica records the sum of their hashes, 32 bits each. */
    public record BucketHashes(byte[] hashes) implements Message {}

    /** A replica record in short. */
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
    public record ReplicaSnapshot(long requestId, List<SpreadRecord> records) implements Message {}

    /** Instances that ended so long ago that the sender keeps no record of them any more. */
    public record ForgottenReplicas(List<String> instanceIds) implements Message {}

    /**
     * A heartbeat that a controller heard.
     *
     * @param ageMs how long ago, milliseconds
     */
    public record HeartbeatNote(String instanceId, long callSequence, int ageMs) {}

    /** Heartbeats that a controller heard since its last batch. */
    public record HeartbeatBatch(List<HeartbeatNote> notes) implements Message {}
}
