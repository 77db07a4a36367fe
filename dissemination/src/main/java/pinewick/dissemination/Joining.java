package pinewick.dissemination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.membership.PeerSampling;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Brings a process that has just started up to what its peers know: it asks seeds and peers for digests, takes the
 * newest configuration that any of them shows, and all replica records of one that has caught up itself. If none has,
 * as after a start of the whole system, those of a peer that has answered for a while.
 */
final class Joining {
    private static final double ASK_MS = 200;
    private static final double GATHER_MS = 200;
    private static final double PATIENCE_MS = 1_000;
    private static final double PATIENCE_WITHOUT_CONFIGURATION_MS = 3_000;
    private static final double SNAPSHOT_TIMEOUT_MS = 400;
    /** An answer counts for so long: its sender may have ended, or know more by now. */
    private static final double ANSWER_MS = 2_000;

    private static final int PEERS_ASKED = 3;

    private final List<SocketAddress> seeds;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<SocketAddress, Answer> answers = new LinkedHashMap<>();
    private double firstAnswerAtMs = Double.NaN;
    private double askedAtMs = Double.NEGATIVE_INFINITY;
    private double snapshotAskedAtMs = Double.NEGATIVE_INFINITY;
    private boolean snapshotTaken;
    private boolean done;

    private record Answer(Digest digest, double atMs) {}

    Joining(List<SocketAddress> seeds, PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.seeds = seeds.stream()
                .filter(seed -> !seed.equals(peers.self().address()))
                .toList();
        this.peers = peers;
        this.outbox = outbox;
        this.random = random;
    }

    boolean done() {
        return done;
    }

    /**
     * Time has passed.
     *
     * @param own what this process would say of itself
     */
    void onTick(Digest own, double nowMs) {
        if (done) {
            return;
        }
        answers.values().removeIf(answer -> nowMs - answer.atMs > ANSWER_MS);
        List<SocketAddress> usable = usableAnswers(nowMs);
        if (!usable.isEmpty()) {
            goOn(usable, own, nowMs);
        }
        if (!done && nowMs - askedAtMs >= ASK_MS) {
            askedAtMs = nowMs;
            ask(own);
        }
    }

    private void ask(Digest own) {
        Set<SocketAddress> targets = new LinkedHashSet<>(seeds);
        targets.addAll(peers.randomPeers(PEERS_ASKED));
        Digest question =
                new Digest(own.configurationVersion(), own.replicaCount(), own.replicaHash(), own.synchronised(), true);
        targets.forEach(target -> outbox.send(target, question));
    }

    /** A peer has answered. */
    void onDigest(SocketAddress sender, Digest digest, double nowMs) {
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
                outbox.send(usable.get(random.nextInt(usable.size())), new SnapshotRequest());
            }
            return;
        }
        done = own.configurationVersion() >= newestShown();
    }

    private static boolean sameRecords(Digest left, Digest right) {
        return left.replicaCount() == right.replicaCount() && left.replicaHash() == right.replicaHash();
    }

    /** All records of a peer have been taken. */
    void onSnapshot() {
        snapshotTaken = true;
    }
}
