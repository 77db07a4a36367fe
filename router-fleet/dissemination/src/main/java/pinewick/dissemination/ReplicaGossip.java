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
 * Epidemic push of changed replica records (rumour mongering; Demers and others, 1987): a record that changed at
 * this process is pushed to some peers with the next tick. In the following ticks its hash is sent to a few more
 * peers, which request the record if they lack it. {@link ReplicaReconciliation} repairs losses. Control loop only.
 */
final class ReplicaGossip {
    /**
     * If more records than this change within one tick, they are pushed to fewer peers and not repeated;
     * reconciliation does the rest.
     */
    private static final int BULK_THRESHOLD_RECORDS = 16;

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

    /** Called when a record has changed, whatever the source. */
    void onReplicaChanged(ReplicaRecord record, double nowMs) {
        if (record.state() == ReplicaState.GONE) {
            records.tombstones().recordRemoval(record.instanceId(), nowMs);
        }
    }

    /** Merges a record from this process; the next tick pushes it if the change concerns routers. */
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

    /** Whether the next tick has anything to send. */
    boolean hasPendingUpdates() {
        return !localUpdates.isEmpty()
                || !remoteUpdates.isEmpty()
                || recentlyPushed.stream().anyMatch(ids -> !ids.isEmpty());
    }

    /** Sends the hashes of recently pushed records to a few more peers, which request the records that they lack. */
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
        boolean isBulk = updates.size() > BULK_THRESHOLD_RECORDS;
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
        keepForSummaries(isBulk ? Set.of() : updates);
    }

    /** Pushes a record to some peers immediately; the next tick pushes it again, together with the other changes. */
    void pushNow(String instanceId, double nowMs) {
        push(Set.of(instanceId), peers.randomPeers(Fanout.ORIGIN_PEERS), nowMs);
    }

    private void keepForSummaries(Set<String> updates) {
        recentlyPushed.addFirst(updates);
        while (recentlyPushed.size() > Fanout.repeats(peers.viewSize())) {
            recentlyPushed.removeLast();
        }
    }

    private void push(Set<String> ids, Iterable<SocketAddress> targets, double nowMs) {
        List<GossipedReplica> pushed = records.records(ids, nowMs);
        targets.forEach(target -> records.send(target, pushed));
    }

    /** Merges the records that a peer pushed, and sends back those that are newer at this process. */
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
