package pinewick.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import pinewick.dissemination.FleetMessages.ExpiredReplicas;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.membership.OutstandingRequests;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;

/**
 * Exchanges the replica records of this process by gossip: merges received records unless their tombstones have
 * expired, and batches sent ones into datagrams. Control loop only.
 */
final class GossipedReplicas {
    private static final int RECORDS_PER_DATAGRAM = 8;
    private static final int MAX_DATAGRAMS = 6;

    private final FleetState state;
    private final Outbox outbox;
    private final Tombstones tombstones = new Tombstones();

    GossipedReplicas(FleetState state, Outbox outbox) {
        this.state = state;
        this.outbox = outbox;
    }

    Tombstones tombstones() {
        return tombstones;
    }

    /** Merges a record; returns whether anything that concerns routers has changed. */
    boolean apply(GossipedReplica gossiped, double nowMs) {
        if (!tombstones.isAcceptable(gossiped)) {
            return false;
        }
        String id = gossiped.record().instanceId();
        Optional<ReplicaRecord> before = state.findReplica(id);
        state.merge(gossiped.record());
        Optional<ReplicaRecord> after = state.findReplica(id);
        if (after.filter(record -> record.state() == ReplicaState.GONE).isPresent()) {
            tombstones.recordRemoval(id, nowMs - gossiped.tombstoneAgeMs());
        }
        return !ReplicaContent.isSame(before, after);
    }

    GossipedReplica toGossiped(ReplicaRecord record, double nowMs) {
        return new GossipedReplica(record, tombstones.ageMs(record, nowMs));
    }

    /** The records of the given instances; instances without a record are omitted. */
    List<GossipedReplica> records(Iterable<String> instanceIds, double nowMs) {
        List<GossipedReplica> records = new ArrayList<>();
        for (String id : instanceIds) {
            state.findReplica(id).ifPresent(record -> records.add(toGossiped(record, nowMs)));
        }
        return records;
    }

    /** Sends records in batches of datagram size if there are few batches, otherwise in one large message. */
    void send(SocketAddress peer, List<GossipedReplica> records) {
        int batchSize = records.size() <= RECORDS_PER_DATAGRAM * MAX_DATAGRAMS ? RECORDS_PER_DATAGRAM : records.size();
        for (int from = 0; from < records.size(); from += batchSize) {
            int to = Math.min(from + batchSize, records.size());
            List<GossipedReplica> batch = List.copyOf(records.subList(from, to));
            outbox.send(peer, new ReplicaUpdate(OutstandingRequests.NO_REQUEST, batch));
        }
    }

    void sendExpired(SocketAddress peer, List<String> instanceIds) {
        if (!instanceIds.isEmpty()) {
            outbox.send(peer, new ExpiredReplicas(instanceIds));
        }
    }

    /** Informs a peer which of the records that it sent belong to replicas whose tombstones have expired. */
    void sendExpiredAmong(SocketAddress peer, List<GossipedReplica> records) {
        sendExpired(
                peer,
                records.stream()
                        .map(GossipedReplica::record)
                        .filter(record ->
                                record.state() != ReplicaState.GONE && tombstones.isExpired(record.instanceId()))
                        .map(ReplicaRecord::instanceId)
                        .toList());
    }
}
