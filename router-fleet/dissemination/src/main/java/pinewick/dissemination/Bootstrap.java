package pinewick.dissemination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.dissemination.FleetMessages.DigestReply;
import pinewick.dissemination.FleetMessages.DigestRequest;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Brings a process that has just started up to date: it requests digests from seeds and peers, pulls the newest
 * configuration that any of them reports, and requests a snapshot of the replica records from a peer that has
 * completed its own bootstrap. If no peer has, as after a start of the whole system, it waits for some time and then
 * uses any seed or controller that has replied. Afterwards it keeps requesting digests until a quorum has confirmed
 * its configuration, because the peers that it reached may be partitioned from the others. Control loop only.
 */
final class Bootstrap {
    private static final double REQUEST_INTERVAL_MS = 200;
    private static final double CONFIRMATION_REQUEST_INTERVAL_MS = 500;
    private static final double DIGEST_COLLECTION_MS = 200;
    /** How long to wait for a peer that has completed its bootstrap before using others, milliseconds. */
    private static final double UNSYNCHRONISED_PEER_WAIT_MS = 1_000;
    /** As {@link #UNSYNCHRONISED_PEER_WAIT_MS}, while no peer has reported a configuration. */
    private static final double UNCONFIGURED_PEER_WAIT_MS = 3_000;

    private static final double SNAPSHOT_TIMEOUT_MS = 400;
    /** A digest is valid for this long, milliseconds; afterwards its sender may have ended or have newer state. */
    private static final double DIGEST_VALID_MS = 2_000;

    private static final int RANDOM_PEERS = 3;
    private static final int MAX_OUTSTANDING = 256;

    private final List<SocketAddress> seeds;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final BiConsumer<SocketAddress, Double> snapshotRequester;
    private final OutstandingRequests<Boolean> requests;
    private final Map<SocketAddress, ReceivedDigest> digests = new LinkedHashMap<>();
    private double firstReplyMs = Double.NaN;
    private double lastRequestMs = Double.NEGATIVE_INFINITY;
    private double lastSnapshotRequestMs = Double.NEGATIVE_INFINITY;
    private boolean snapshotReceived;
    private boolean done;

    private record ReceivedDigest(Digest digest, double receivedMs) {}

    /** @param snapshotRequester requests a snapshot of a peer's replica records; gets the peer and the current time */
    Bootstrap(
            List<SocketAddress> seeds,
            PeerSampling peers,
            Outbox outbox,
            RandomGenerator random,
            BiConsumer<SocketAddress, Double> snapshotRequester) {
        this.seeds = seeds.stream()
                .filter(seed -> !seed.equals(peers.self().address()))
                .toList();
        this.peers = peers;
        this.outbox = outbox;
        this.random = random;
        this.snapshotRequester = snapshotRequester;
        this.requests = new OutstandingRequests<>(DIGEST_VALID_MS, MAX_OUTSTANDING, random);
    }

    boolean isDone() {
        return done;
    }

    /**
     * Requests digests and a snapshot when they are due, and checks whether the bootstrap is complete.
     *
     * @param own the digest of this process
     * @param isConfirmed whether the configuration is confirmed or needs no confirmation
     */
    void onTick(Digest own, boolean isConfirmed, double nowMs) {
        if (!done) {
            digests.values().removeIf(received -> nowMs - received.receivedMs > DIGEST_VALID_MS);
            List<SocketAddress> usable = usablePeers(nowMs);
            if (!usable.isEmpty()) {
                requestSnapshotOrComplete(usable, own, nowMs);
            }
        }
        boolean isFinished = done && isConfirmed;
        double intervalMs = done ? CONFIRMATION_REQUEST_INTERVAL_MS : REQUEST_INTERVAL_MS;
        if (!isFinished && nowMs - lastRequestMs >= intervalMs) {
            lastRequestMs = nowMs;
            sendDigestRequests(nowMs);
        }
    }

    private void sendDigestRequests(double nowMs) {
        Set<SocketAddress> targets = new LinkedHashSet<>(seeds);
        targets.addAll(peers.randomPeers(RANDOM_PEERS));
        targets.forEach(
                target -> outbox.send(target, new DigestRequest(requests.register(target, Boolean.TRUE, nowMs))));
    }

    /**
     * Handles a digest reply; returns when its request was sent, or empty if the reply matches no outstanding
     * request.
     */
    Optional<Double> onReply(SocketAddress sender, DigestReply reply, double nowMs) {
        var request = requests.complete(reply.requestId(), sender, nowMs);
        if (request.isPresent()) {
            record(sender, reply.digest(), nowMs);
        }
        return request.map(OutstandingRequests.Completed::sentAtMs);
    }

    private void record(SocketAddress sender, Digest digest, double nowMs) {
        if (done) {
            return;
        }
        if (Double.isNaN(firstReplyMs)) {
            firstReplyMs = nowMs;
        }
        digests.put(sender, new ReceivedDigest(digest, nowMs));
    }

    private List<SocketAddress> usablePeers(double nowMs) {
        List<SocketAddress> usable = new ArrayList<>();
        if (Double.isNaN(firstReplyMs) || nowMs - firstReplyMs < DIGEST_COLLECTION_MS) {
            return usable;
        }
        digests.forEach((peer, received) -> {
            if (received.digest.synchronised()) {
                usable.add(peer);
            }
        });
        double waitMs = newestReportedVersion() > 0 ? UNSYNCHRONISED_PEER_WAIT_MS : UNCONFIGURED_PEER_WAIT_MS;
        if (usable.isEmpty() && nowMs - firstReplyMs >= waitMs) {
            usable.addAll(digests.keySet());
            usable.removeIf(
                    peer -> !seeds.contains(peer) && !peers.controllers().contains(peer));
        }
        return usable;
    }

    private long newestReportedVersion() {
        return digests.values().stream()
                .mapToLong(received -> received.digest.configurationVersion())
                .max()
                .orElse(0);
    }

    private void requestSnapshotOrComplete(List<SocketAddress> usable, Digest own, double nowMs) {
        boolean isUpToDate = usable.stream().allMatch(peer -> hasSameRecords(digests.get(peer).digest, own));
        if (!snapshotReceived && !isUpToDate) {
            if (nowMs - lastSnapshotRequestMs >= SNAPSHOT_TIMEOUT_MS) {
                lastSnapshotRequestMs = nowMs;
                snapshotRequester.accept(usable.get(random.nextInt(usable.size())), nowMs);
            }
            return;
        }
        done = own.configurationVersion() >= newestReportedVersion();
    }

    private static boolean hasSameRecords(Digest left, Digest right) {
        return left.replicaCount() == right.replicaCount() && left.replicaHash() == right.replicaHash();
    }

    /** Called when a requested snapshot has been merged. */
    void onSnapshot() {
        snapshotReceived = true;
    }
}
