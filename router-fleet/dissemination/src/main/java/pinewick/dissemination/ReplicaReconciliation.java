package pinewick.dissemination;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.BucketHashes;
import pinewick.dissemination.FleetMessages.ExpiredReplicas;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaRequest;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaSummary;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.dissemination.FleetMessages.SummaryEntry;
import pinewick.membership.OutstandingRequests;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/**
 * Anti-entropy of replica records (Demers and others, "Epidemic algorithms for replicated database maintenance", 1987):
 * two processes whose digests differ find the differing records by comparing hashes of buckets and then hashes of
 * records, and exchange those records. A process without any record requests a snapshot. Control loop only.
 */
final class ReplicaReconciliation {
    /** A summary of up to this many records fits into one datagram. */
    private static final int MAX_SUMMARY_RECORDS = 45;

    private static final double SNAPSHOT_REQUEST_INTERVAL_MS = 400;

    /** A snapshot that arrives more than this after its request is ignored, milliseconds. */
    private static final double MAX_SNAPSHOT_AGE_MS = 5_000;

    private static final int MAX_OUTSTANDING = 16;

    private final FleetState state;
    private final GossipedReplicas records;
    private final Outbox outbox;
    private final ReplicaDigest digest;
    private final OutstandingRequests<SnapshotPurpose> snapshots;
    private double lastSnapshotRequestMs = Double.NEGATIVE_INFINITY;

    /** The reason for requesting a snapshot. */
    enum SnapshotPurpose {
        /**
         * A process that has just started requests its first snapshot, from a peer that {@link Bootstrap} has
         * selected.
         */
        BOOTSTRAP,
        /** A peer has records, and this process has none. */
        RECONCILIATION
    }

    ReplicaReconciliation(FleetState state, GossipedReplicas records, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.records = records;
        this.outbox = outbox;
        this.snapshots = new OutstandingRequests<>(MAX_SNAPSHOT_AGE_MS, MAX_OUTSTANDING, random);
        this.digest = new ReplicaDigest(state, records.tombstones());
    }

    ReplicaDigest digest() {
        return digest;
    }

    /** Removes expired tombstones. */
    void onTick(double nowMs) {
        if (records.tombstones().expire(state, nowMs)) {
            digest.invalidate();
        }
    }

    /** Starts to exchange the differing records with a peer whose digest differs. */
    void reconcile(SocketAddress peer, int peerCount, double nowMs) {
        int count = digest.count(nowMs);
        if (count == 0) {
            requestSnapshotIfDue(peer, nowMs);
        } else if (count <= MAX_SUMMARY_RECORDS && peerCount <= MAX_SUMMARY_RECORDS) {
            sendSummary(peer, ReplicaDigest.allBuckets(), nowMs);
        } else {
            outbox.send(peer, new BucketHashes(digest.bucketHashes(nowMs)));
        }
    }

    private void requestSnapshotIfDue(SocketAddress peer, double nowMs) {
        if (nowMs - lastSnapshotRequestMs >= SNAPSHOT_REQUEST_INTERVAL_MS) {
            lastSnapshotRequestMs = nowMs;
            requestSnapshot(peer, SnapshotPurpose.RECONCILIATION, nowMs);
        }
    }

    /** Requests all records of a peer. */
    void requestSnapshot(SocketAddress peer, SnapshotPurpose purpose, double nowMs) {
        outbox.send(peer, new SnapshotRequest(snapshots.register(peer, purpose, nowMs)));
    }

    private void sendSummary(SocketAddress peer, BitSet buckets, double nowMs) {
        outbox.send(peer, new ReplicaSummary(buckets.toByteArray(), digest.entries(buckets, nowMs)));
    }

    void onBucketHashes(SocketAddress sender, BucketHashes message, double nowMs) {
        BitSet differing = digest.differingBuckets(message.hashes(), nowMs);
        if (!differing.isEmpty()) {
            sendSummary(sender, differing, nowMs);
        }
    }

    /**
     * Sends the records that the peer lacks and requests those that this process lacks; does both for records that
     * differ.
     */
    void onSummary(SocketAddress sender, ReplicaSummary summary, double nowMs) {
        Set<String> listed = new HashSet<>();
        List<String> missing = new ArrayList<>();
        List<String> expired = new ArrayList<>();
        List<GossipedReplica> offered = new ArrayList<>();
        for (SummaryEntry entry : summary.entries()) {
            listed.add(entry.instanceId());
            Optional<ReplicaRecord> known = state.findReplica(entry.instanceId());
            if (known.isPresent()) {
                if ((int) ReplicaContent.hash(known.get()) != entry.contentHash()) {
                    missing.add(entry.instanceId());
                    offered.add(records.toGossiped(known.get(), nowMs));
                }
            } else if (records.tombstones().isExpired(entry.instanceId())) {
                expired.add(entry.instanceId());
            } else {
                missing.add(entry.instanceId());
            }
        }
        offered.addAll(notListed(BitSet.valueOf(summary.buckets()), listed, nowMs));
        records.send(sender, offered);
        if (!missing.isEmpty()) {
            outbox.send(sender, new ReplicaRequest(missing));
        }
        records.sendExpired(sender, expired);
    }

    /** The records in some buckets that are missing from a peer's summary of these buckets. */
    private List<GossipedReplica> notListed(BitSet buckets, Set<String> listed, double nowMs) {
        List<GossipedReplica> notListed = new ArrayList<>();
        for (ReplicaRecord record : state.replicas()) {
            boolean isCovered = buckets.get(ReplicaDigest.bucketOf(record.instanceId()));
            if (isCovered && belongsInDigest(record, nowMs) && !listed.contains(record.instanceId())) {
                notListed.add(records.toGossiped(record, nowMs));
            }
        }
        return notListed;
    }

    private boolean belongsInDigest(ReplicaRecord record, double nowMs) {
        return records.tombstones().belongsInDigest(record, nowMs);
    }

    /** Removes replicas whose removal this process has missed. */
    void onExpired(ExpiredReplicas expired, double nowMs) {
        for (String id : expired.instanceIds()) {
            state.findReplica(id).ifPresent(known -> {
                records.tombstones().recordRemoval(id, nowMs - Tombstones.DIGEST_RETENTION_MS);
                state.merge(known.withState(ReplicaState.GONE));
            });
        }
        digest.invalidate();
    }

    void onRequest(SocketAddress sender, ReplicaRequest request, double nowMs) {
        records.send(sender, records.records(request.instanceIds(), nowMs));
    }

    void onSnapshotRequest(SocketAddress sender, SnapshotRequest request, double nowMs) {
        List<GossipedReplica> all = new ArrayList<>();
        for (ReplicaRecord record : state.replicas()) {
            if (belongsInDigest(record, nowMs)) {
                all.add(records.toGossiped(record, nowMs));
            }
        }
        outbox.send(sender, new ReplicaSnapshot(request.requestId(), all));
    }

    /**
     * Merges the requested snapshot of a peer. Its records are not pushed to other peers.
     *
     * @return the reason why it was requested, empty if it matches no outstanding request
     */
    Optional<SnapshotPurpose> onSnapshot(SocketAddress sender, ReplicaSnapshot snapshot, double nowMs) {
        var request = snapshots.complete(snapshot.requestId(), sender, nowMs);
        if (request.isPresent()) {
            snapshot.records().forEach(gossiped -> records.apply(gossiped, nowMs));
            records.sendExpiredAmong(sender, snapshot.records());
        }
        return request.map(OutstandingRequests.Completed::context);
    }
}
