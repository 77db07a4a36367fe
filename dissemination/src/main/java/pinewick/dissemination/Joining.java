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
 * Brings a process that has just started up to what its peers know: it asks seeds and peers for digests, takes the
 * newest configuration that any of them shows, and all replica records of one that has caught up itself. If none has,
 * as after a start of the whole system, those of a peer that has answered for a while. After that it goes on asking
 * until its configuration is confirmed: the peers that it reached may have been cut off from the others.
 */
final class Joining {
    private static final double ASK_MS = 200;
    private static final double ASK_FOR_CONFIRMATION_MS = 500;
    private static final double GATHER_MS = 200;
    private static final double PATIENCE_MS = 1_000;
    private static final double PATIENCE_WITHOUT_CONFIGURATION_MS = 3_000;
    private static final double SNAPSHOT_TIMEOUT_MS = 400;
    /** An answer counts for so long: its sender may have ended, or know more by now. */
    private static final double ANSWER_MS = 2_000;

    private static final int PEERS_ASKED = 3;
    private static final int MOST_OUTSTANDING = 256;

    private final List<SocketAddress> seeds;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final BiConsumer<SocketAddress, Double> snapshotRequester;
    private final OutstandingRequests<Boolean> requests;
    private final Map<SocketAddress, Answer> answers = new LinkedHashMap<>();
    private double firstAnswerAtMs = Double.NaN;
    private double askedAtMs = Double.NEGATIVE_INFINITY;
    private double snapshotAskedAtMs = Double.NEGATIVE_INFINITY;
    private boolean snapshotTaken;
    private boolean done;

    private record Answer(Digest digest, double atMs) {}

    /**
     * @param snapshotRequester asks a peer for all replica records, at the time given
     */
    Joining(
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
        this.requests = new OutstandingRequests<>(ANSWER_MS, MOST_OUTSTANDING, random);
    }

    boolean done() {
        return done;
    }

    /**
     * Time has passed.
     *
     * @param own what this process would say of itself
     * @param confirmed whether nothing more has to be asked for once this process has caught up
     */
    void onTick(Digest own, boolean confirmed, double nowMs) {
        if (!done) {
            answers.values().removeIf(answer -> nowMs - answer.atMs > ANSWER_MS);
            List<SocketAddress> usable = usableAnswers(nowMs);
            if (!usable.isEmpty()) {
                goOn(usable, own, nowMs);
            }
        }
        boolean finished = done && confirmed;
        double pauseMs = done ? ASK_FOR_CONFIRMATION_MS : ASK_MS;
        if (!finished && nowMs - askedAtMs >= pauseMs) {
            askedAtMs = nowMs;
            ask(nowMs);
        }
    }

    private void ask(double nowMs) {
        Set<SocketAddress> targets = new LinkedHashSet<>(seeds);
        targets.addAll(peers.randomPeers(PEERS_ASKED));
        targets.forEach(target -> outbox.send(target, new DigestRequest(requests.open(target, Boolean.TRUE, nowMs))));
    }

    /** A peer has answered: when it was asked, empty if the answer counts for nothing. */
    Optional<Double> onReply(SocketAddress sender, DigestReply reply, double nowMs) {
        var request = requests.close(reply.requestId(), sender, nowMs);
        if (request.isPresent()) {
            note(sender, reply.digest(), nowMs);
        }
        return request.map(OutstandingRequests.Match::sentAtMs);
    }

    private void note(SocketAddress sender, Digest digest, double nowMs) {
        if (done) {
            return;
        }
        if (Double.isNaN(firstAnswerAtMs)) {
            firstAnswerAtMs = nowMs;
        }
        answers.put(sender, new Answer(digest, nowMs));
    }

    private List<SocketAddress> usableAnswers(double nowMs) {
        List<SocketAddress> usable = new ArrayList<>();
        if (Double.isNaN(firstAnswerAtMs) || nowMs - firstAnswerAtMs < GATHER_MS) {
            return usable;
        }
        answers.forEach((peer, answer) -> {
            if (answer.digest.synchronised()) {
                usable.add(peer);
            }
        });
        double patience = newestShown() > 0 ? PATIENCE_MS : PATIENCE_WITHOUT_CONFIGURATION_MS;
        if (usable.isEmpty() && nowMs - firstAnswerAtMs >= patience) {
            usable.addAll(answers.keySet());
            usable.removeIf(
                    peer -> !seeds.contains(peer) && !peers.controllers().contains(peer));
        }
        return usable;
    }

    private long newestShown() {
        return answers.values().stream()
                .mapToLong(answer -> answer.digest.configurationVersion())
                .max()
                .orElse(0);
    }

    private void goOn(List<SocketAddress> usable, Digest own, double nowMs) {
        boolean nothingToTake = usable.stream().allMatch(peer -> sameRecords(answers.get(peer).digest, own));
        if (!snapshotTaken && !nothingToTake) {
            if (nowMs - snapshotAskedAtMs >= SNAPSHOT_TIMEOUT_MS) {
                snapshotAskedAtMs = nowMs;
                snapshotRequester.accept(usable.get(random.nextInt(usable.size())), nowMs);
            }
            return;
        }
        done = own.configurationVersion() >= newestShown();
    }

    private static boolean sameRecords(Digest left, Digest right) {
        return left.replicaCount() == right.replicaCount() && left.replicaHash() == right.replicaHash();
    }

    /** All records of a peer that was asked for them have been taken. */
    void onSnapshot() {
        snapshotTaken = true;
    }
}
