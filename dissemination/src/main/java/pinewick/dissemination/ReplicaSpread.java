package pinewick.dissemination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.BucketHashes;
import pinewick.dissemination.FleetMessages.ForgottenReplicas;
import pinewick.dissemination.FleetMessages.ReplicaRequest;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaSummary;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.dissemination.FleetMessages.SpreadRecord;
import pinewick.dissemination.FleetMessages.SummaryEntry;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/**
 * Spreads replica records: what is new here is pushed to a few peers at the next tick and named to a few more in the
 * next ticks; what a digest shows to differ is exchanged.
 */
final class ReplicaSpread {
    /** Beyond so many records in one tick only a few peers are told; digests do the rest. */
    private static final int MANY_RECORDS = 16;
    /** Up to so many records a summary of them all fits a datagram. */
    private static final int SMALL_FLEET = 45;

    private static final int RECORDS_A_DATAGRAM = 8;
    private static final int MOST_DATAGRAMS = 6;
    private static final double SNAPSHOT_PAUSE_MS = 400;
    /** A snapshot that comes later than this counts for nothing. */
    private static final double LATEST_SNAPSHOT_MS = 5_000;

    private static final int MOST_OUTSTANDING = 16;
    private static final byte[] NO_BUCKETS = {};

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final GoneReplicas gone = new GoneReplicas();
    private final ReplicaDigest digest;
    private final Set<String> arisen = new LinkedHashSet<>();
    private final Set<String> heardOf = new LinkedHashSet<>();
    private final OutstandingRequests<SnapshotPurpose> snapshots;
    private double snapshotAskedAtMs = Double.NEGATIVE_INFINITY;
    private final Deque<Set<String>> pushed = new ArrayDeque<>();

    /** Why a snapshot is asked for. */
    enum SnapshotPurpose {
        /** The first of a process that has just started, from a peer chosen for it. */
        JOINING,
        /** A peer holds records and this process none. */
        RECONCILING
    }

    ReplicaSpread(FleetState state, PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
        this.snapshots = new OutstandingRequests<>(LATEST_SNAPSHOT_MS, MOST_OUTSTANDING, random);
        this.digest = new ReplicaDigest(state, gone);
    }

    ReplicaDigest digest() {
        return digest;
    }

    /** A record has changed, from wherever. */
    void changed(ReplicaRecord record, double nowMs) {
        if (record.state() == ReplicaState.GONE) {
            gone.noteGone(record.instanceId(), nowMs);
        }
    }

    /** Merges a record that arose here; returns whether routers have to be told. */
    boolean arose(ReplicaRecord record, double nowMs) {
        boolean significant = take(new SpreadRecord(record, 0), nowMs);
        if (significant) {
            arisen.add(record.instanceId());
        }
        return significant;
    }

    /** Merges a record; returns whether what concerns routers changed. */
    private boolean take(SpreadRecord spread, double nowMs) {
        if (!gone.admits(spread)) {
            return false;
        }
        String id = spread.record().instanceId();
        ReplicaRecord before = state.replica(id);
        state.merge(spread.record());
        ReplicaRecord after = state.replica(id);
        if (after != null && after.state() == ReplicaState.GONE) {
            gone.noteGone(id, nowMs - spread.goneAgeMs());
        }
        return !ReplicaContent.same(before, after);
    }

    void onTick(double nowMs) {
        if (gone.expire(state, nowMs)) {
            digest.invalidate();
        }
        if (!hasNews()) {
            pushed.clear();
            return;
        }
        nameAgain();
        pushNews(nowMs);
    }

    /** Whether the next tick has something to send. */
    boolean hasNews() {
        if (!arisen.isEmpty() || !heardOf.isEmpty()) {
            return true;
        }
        for (Set<String> ids : pushed) {
            if (!ids.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Names what was pushed in the ticks before to a few more peers, which ask for what they lack. */
    private void nameAgain() {
        for (Set<String> ids : pushed) {
            if (ids.isEmpty()) {
                continue;
            }
            List<SummaryEntry> entries = new ArrayList<>();
            for (String id : ids) {
                ReplicaRecord record = state.replica(id);
                if (record != null) {
                    entries.add(new SummaryEntry(id, (int) ReplicaContent.hash(record)));
                }
            }
            ReplicaSummary summary = new ReplicaSummary(NO_BUCKETS, entries);
            peers.randomPeers(Fanout.RELAY).forEach(peer -> outbox.send(peer, summary));
        }
    }

    private void pushNews(double nowMs) {
        Set<String> news = new LinkedHashSet<>(arisen);
        news.addAll(heardOf);
        heardOf.removeAll(arisen);
        boolean many = news.size() > MANY_RECORDS;
        if (!arisen.isEmpty()) {
            Set<SocketAddress> targets = new LinkedHashSet<>(peers.controllers());
            targets.addAll(peers.randomPeers(many ? Fanout.RELAY : Fanout.ORIGIN));
            push(arisen, targets, nowMs);
        }
        if (!heardOf.isEmpty()) {
            push(heardOf, peers.randomPeers(many ? Fanout.OF_MANY : Fanout.RELAY), nowMs);
        }
        arisen.clear();
        heardOf.clear();
        rememberForLaterWaves(many ? Set.of() : news);
    }

    /** Pushes a record to a few peers now; the next tick does so again, with whatever else is new by then. */
    void pushAtOnce(String instanceId, double nowMs) {
        push(Set.of(instanceId), peers.randomPeers(Fanout.ORIGIN), nowMs);
    }

    private void rememberForLaterWaves(Set<String> news) {
        pushed.addFirst(news);
        while (pushed.size() > Fanout.laterWaves(peers.viewSize())) {
            pushed.removeLast();
        }
    }

    private void push(Set<String> ids, Iterable<SocketAddress> targets, double nowMs) {
        List<SpreadRecord> records = records(ids, nowMs);
        targets.forEach(target -> send(target, records));
    }

    private List<SpreadRecord> records(Iterable<String> ids, double nowMs) {
        List<SpreadRecord> records = new ArrayList<>();
        for (String id : ids) {
            ReplicaRecord record = state.replica(id);
            if (record != null) {
                records.add(spread(record, nowMs));
            }
        }
        return records;
    }

    SpreadRecord spread(ReplicaRecord record, double nowMs) {
        return new SpreadRecord(record, gone.ageMs(record, nowMs));
    }

    /** Sends records in datagrams if a few suffice, else in one message. */
    private void send(SocketAddress peer, List<SpreadRecord> records) {
        int piece = records.size() <= RECORDS_A_DATAGRAM * MOST_DATAGRAMS ? RECORDS_A_DATAGRAM : records.size();
        for (int from = 0; from < records.size(); from += piece) {
            int to = Math.min(from + piece, records.size());
            outbox.send(peer, new ReplicaUpdate(OutstandingRequests.UNASKED, List.copyOf(records.subList(from, to))));
        }
    }

    /** Takes what a peer pushed; where this process knows better, the peer is told. */
    void onUpdate(SocketAddress sender, ReplicaUpdate update, double nowMs) {
        List<SpreadRecord> corrections = new ArrayList<>();
        for (SpreadRecord spread : update.records()) {
            if (take(spread, nowMs)) {
                heardOf.add(spread.record().instanceId());
            }
            ReplicaRecord held = state.replica(spread.record().instanceId());
            if (held != null && !ReplicaContent.same(held, spread.record())) {
                corrections.add(spread(held, nowMs));
            }
        }
        send(sender, corrections);
        tellForgottenOf(sender, update.records());
    }

    /** A peer's digest differs: starts the exchange of what differs. */
    void reconcile(SocketAddress peer, int peerCount, double nowMs) {
        int count = digest.count(nowMs);
        if (count == 0) {
            askForSnapshot(peer, nowMs);
        } else if (count <= SMALL_FLEET && peerCount <= SMALL_FLEET) {
            sendSummary(peer, ReplicaDigest.allBuckets(), nowMs);
        } else {
            outbox.send(peer, new BucketHashes(digest.bucketHashes(nowMs)));
        }
    }

    private void askForSnapshot(SocketAddress peer, double nowMs) {
        if (nowMs - snapshotAskedAtMs >= SNAPSHOT_PAUSE_MS) {
            snapshotAskedAtMs = nowMs;
            askForSnapshot(peer, SnapshotPurpose.RECONCILING, nowMs);
        }
    }

    /** Asks a peer for all its records. */
    void askForSnapshot(SocketAddress peer, SnapshotPurpose purpose, double nowMs) {
        outbox.send(peer, new SnapshotRequest(snapshots.open(peer, purpose, nowMs)));
    }

    private void sendSummary(SocketAddress peer, BitSet buckets, double nowMs) {
        outbox.send(peer, new ReplicaSummary(buckets.toByteArray(), digest.entries(buckets, nowMs)));
    }

    void onBucketHashes(SocketAddress sender, BucketHashes message, double nowMs) {
        BitSet differing = digest.differing(message.hashes(), nowMs);
        if (!differing.isEmpty()) {
            sendSummary(sender, differing, nowMs);
        }
    }

    /** Sends what the peer lacks and asks for what it has and this process lacks; both ways where the two differ. */
    void onSummary(SocketAddress sender, ReplicaSummary summary, double nowMs) {
        BitSet buckets = BitSet.valueOf(summary.buckets());
        Set<String> listed = new HashSet<>();
        List<String> wanted = new ArrayList<>();
        List<String> forgotten = new ArrayList<>();
        List<SpreadRecord> offered = new ArrayList<>();
        for (SummaryEntry entry : summary.entries()) {
            listed.add(entry.instanceId());
            ReplicaRecord held = state.replica(entry.instanceId());
            if (held == null && gone.isForgotten(entry.instanceId())) {
                forgotten.add(entry.instanceId());
            } else if (held == null) {
                wanted.add(entry.instanceId());
            } else if ((int) ReplicaContent.hash(held) != entry.contentHash()) {
                wanted.add(entry.instanceId());
                offered.add(spread(held, nowMs));
            }
        }
        for (ReplicaRecord record : state.replicas()) {
            boolean covered = buckets.get(ReplicaDigest.bucketOf(record.instanceId()));
            if (covered && gone.inDigest(record, nowMs) && !listed.contains(record.instanceId())) {
                offered.add(spread(record, nowMs));
            }
        }
        send(sender, offered);
        if (!wanted.isEmpty()) {
            outbox.send(sender, new ReplicaRequest(wanted));
        }
        tellForgotten(sender, forgotten);
    }

    private void tellForgotten(SocketAddress peer, List<String> instanceIds) {
        if (!instanceIds.isEmpty()) {
            outbox.send(peer, new ForgottenReplicas(instanceIds));
        }
    }

    /** Tells a peer which of the records that it sent belong to replicas that ended long ago. */
    private void tellForgottenOf(SocketAddress peer, List<SpreadRecord> records) {
        tellForgotten(
                peer,
                records.stream()
                        .map(SpreadRecord::record)
                        .filter(record -> record.state() != ReplicaState.GONE && gone.isForgotten(record.instanceId()))
                        .map(ReplicaRecord::instanceId)
                        .toList());
    }

    /** A peer knows of ends that this process has missed. */
    void onForgotten(ForgottenReplicas forgotten, double nowMs) {
        for (String id : forgotten.instanceIds()) {
            ReplicaRecord held = state.replica(id);
            if (held != null) {
                gone.noteGone(id, nowMs - GoneReplicas.DIGEST_MS);
                state.merge(held.withState(ReplicaState.GONE));
            }
        }
        digest.invalidate();
    }

    void onRequest(SocketAddress sender, ReplicaRequest request, double nowMs) {
        send(sender, records(request.instanceIds(), nowMs));
    }

    void onSnapshotRequest(SocketAddress sender, SnapshotRequest request, double nowMs) {
        List<SpreadRecord> records = new ArrayList<>();
        for (ReplicaRecord record : state.replicas()) {
            if (gone.inDigest(record, nowMs)) {
                records.add(spread(record, nowMs));
            }
        }
        outbox.send(sender, new ReplicaSnapshot(request.requestId(), records));
    }

    /**
     * Takes all records of a peer that was asked for them; what is new by them is not pushed on.
     *
     * @return why they were asked for, empty if the snapshot counts for nothing
     */
    Optional<SnapshotPurpose> onSnapshot(SocketAddress sender, ReplicaSnapshot snapshot, double nowMs) {
        var request = snapshots.close(snapshot.requestId(), sender, nowMs);
        if (request.isPresent()) {
            snapshot.records().forEach(spread -> take(spread, nowMs));
            tellForgottenOf(sender, snapshot.records());
        }
        return request.map(OutstandingRequests.Match::context);
    }
}
