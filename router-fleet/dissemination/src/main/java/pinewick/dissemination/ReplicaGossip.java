package pinewick.dissemination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaSummary;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.SummaryEntry;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/**
 * Epidemic push of changed replica records (rumour mongering; Demers and others, 1987): a record that changed here is
 * pushed to some peers with the next tick, and its hash is sent to a few more in the following ticks, which request
 * what they lack. {@link ReplicaReconciliation} repairs what was lost. Control loop only.
 */
final class ReplicaGossip {
    /** With more records than this in one tick, only a few peers get a push; reconciliation does the rest. */
    private static final int BULK_RECORDS = 16;

    private static final byte[] NO_BUCKETS = {};

    private final FleetState state;
    private final GossipedReplicas records;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final Set<String> localUpdates = new LinkedHashSet<>();
    private final Set<String> remoteUpdates = new LinkedHashSet<>();
    private final Deque<Set<String>> recentlyPushed = new ArrayDeque<>();

    ReplicaGossip(FleetState state, GossipedReplicas records, PeerSampling peers, Outbox outbox) {
        this.state = state;
        this.records = records;
        this.peers = peers;
        this.outbox = outbox;
    }

    /** A record has changed, from whatever source. */
    void onReplicaChanged(ReplicaRecord record, double nowMs) {
        if (record.state() == ReplicaState.GONE) {
            records.tombstones().recordRemoval(record.instanceId(), nowMs);
        }
    }

    /** Merges a record of this process; the next tick pushes it if it concerns routers. */
    void publish(ReplicaRecord record, double nowMs) {
        if (records.apply(new GossipedReplica(record, 0), nowMs)) {
            localUpdates.add(record.instanceId());
        }
    }

    void onTick(double nowMs) {
        if (!hasPendingUpdates()) {
            recentlyPushed.clear();
            return;
        }
        sendSummaries();
        pushUpdates(nowMs);
    }

    /** Whether the next tick has something to send. */
    boolean hasPendingUpdates() {
        return !localUpdates.isEmpty()
                || !remoteUpdates.isEmpty()
                || recentlyPushed.stream().anyMatch(ids -> !ids.isEmpty());
    }

    /** Sends the hashes of what recent ticks pushed to a few more peers, which request what they lack. */
    private void sendSummaries() {
        for (Set<String> ids : recentlyPushed) {
            if (!ids.isEmpty()) {
                ReplicaSummary summary = new ReplicaSummary(NO_BUCKETS, summaryEntries(ids));
                peers.randomPeers(Fanout.RELAY_PEERS).forEach(peer -> outbox.send(peer, summary));
            }
        }
    }

    private List<SummaryEntry> summaryEntries(Set<String> ids) {
        List<SummaryEntry> entries = new ArrayList<>();
        for (String id : ids) {
            state.findReplica(id)
                    .ifPresent(record -> entries.add(new SummaryEntry(id, (int) ReplicaContent.hash(record))));
        }
        return entries;
    }

    private void pushUpdates(double nowMs) {
        Set<String> updates = new LinkedHashSet<>(localUpdates);
        updates.addAll(remoteUpdates);
        remoteUpdates.removeAll(localUpdates);
        boolean isBulk = updates.size() > BULK_RECORDS;
        if (!localUpdates.isEmpty()) {
            Set<SocketAddress> targets = new LinkedHashSet<>(peers.controllers());
            targets.addAll(peers.randomPeers(isBulk ? Fanout.RELAY_PEERS : Fanout.ORIGIN_PEERS));
            push(localUpdates, targets, nowMs);
        }
        if (!remoteUpdates.isEmpty()) {
            push(remoteUpdates, peers.randomPeers(isBulk ? Fanout.BULK_PEERS : Fanout.RELAY_PEERS), nowMs);
        }
        localUpdates.clear();
        remoteUpdates.clear();
        keepForRepeats(isBulk ? Set.of() : updates);
    }

    /** Pushes a record to some peers now; the next tick does so again, with whatever else has changed by then. */
    void pushNow(String instanceId, double nowMs) {
        push(Set.of(instanceId), peers.randomPeers(Fanout.ORIGIN_PEERS), nowMs);
    }

    private void keepForRepeats(Set<String> updates) {
        recentlyPushed.addFirst(updates);
        while (recentlyPushed.size() > Fanout.repeats(peers.viewSize())) {
            recentlyPushed.removeLast();
        }
    }

    private void push(Set<String> ids, Iterable<SocketAddress> targets, double nowMs) {
        List<GossipedReplica> pushed = records.records(ids, nowMs);
        targets.forEach(target -> records.send(target, pushed));
    }

    /** Merges what a peer pushed; where the record here is newer, it is sent back. */
    void onUpdate(SocketAddress sender, ReplicaUpdate update, double nowMs) {
        List<GossipedReplica> corrections = new ArrayList<>();
        for (GossipedReplica gossiped : update.records()) {
            String id = gossiped.record().instanceId();
            if (records.apply(gossiped, nowMs)) {
                remoteUpdates.add(id);
            }
            state.findReplica(id)
                    .filter(known -> !ReplicaContent.isSame(known, gossiped.record()))
                    .ifPresent(known -> corrections.add(records.toGossiped(known, nowMs)));
        }
        records.send(sender, corrections);
        records.sendExpiredAmong(sender, update.records());
    }
}
