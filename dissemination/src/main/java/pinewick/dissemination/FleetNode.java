package pinewick.dissemination;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.BucketHashes;
import pinewick.dissemination.FleetMessages.ConfigurationPull;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.dissemination.FleetMessages.DigestReply;
import pinewick.dissemination.FleetMessages.DigestRequest;
import pinewick.dissemination.FleetMessages.ForgottenReplicas;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.ReplicaHeld;
import pinewick.dissemination.FleetMessages.ReplicaRequest;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaSummary;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.dissemination.ReplicaSpread.SnapshotPurpose;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/**
 * A process's part in membership and dissemination. Owned by one thread, the control loop: it calls {@link #onTick}
 * every {@link #TICK_MS}, or whenever {@link #nextTickMs} says, hands in every message, and publishes what is new here.
 * What {@link #synchronised}, {@link #configurationConfirmed}, {@link #routerCount}, {@link #routerCountUpperBound},
 * {@link #peers} and {@link #lastHeardMs} answer is as of the last tick and may be read by any thread.
 */
public final class FleetNode {
    /** Pause between two calls of {@link #onTick} while there is something to do, milliseconds. */
    public static final int TICK_MS = 50;

    /** Longest pause between two calls of {@link #onTick}, milliseconds. */
    public static final int LONGEST_PAUSE_MS = 500;

    private static final double DIGEST_MS = 500;
    private static final double DIGEST_JITTER = 0.2;
    private static final double PRUNE_MS = 10_000;
    /** Taken for the number of routers by a process that knows no peer yet. */
    private static final int UPPER_BOUND_OF_A_STRANGER = 1_000;

    private final FleetState state;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final PeerSampling sampling;
    private final ConfigurationSpread configuration;
    private final ReplicaSpread replicas;
    private final ReplicaHandover handover;
    private final HeartbeatNotes heartbeats;
    private final Joining joining;
    private final QuorumConfirmation confirmation = new QuorumConfirmation();
    private double nextDigestAtMs;
    private double nextPruneAtMs;
    private double tickedAtMs = Double.NEGATIVE_INFINITY;
    private volatile double lastNowMs;
    private volatile boolean synchronised;
    private volatile boolean configurationConfirmed;
    private volatile int routerCount = 1;
    private volatile int routerCountUpperBound = 1;
    private volatile List<NodeDescriptor> peers = List.of();

    /**
     * @param self this process
     * @param seeds internal addresses of some controllers
     * @param state what this process knows; changed here, listened to by others
     * @param outbox takes messages to peers
     * @param random source of chance, seeded by the caller
     */
    public FleetNode(
            NodeDescriptor self, List<SocketAddress> seeds, FleetState state, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.outbox = outbox;
        this.random = random;
        sampling = new PeerSampling(self, seeds, outbox, random);
        configuration = new ConfigurationSpread(state, sampling, outbox, random);
        replicas = new ReplicaSpread(state, sampling, outbox, random);
        handover = new ReplicaHandover(sampling, outbox, random);
        heartbeats = new HeartbeatNotes(state, sampling, outbox);
        joining = new Joining(
                seeds,
                sampling,
                outbox,
                random,
                (peer, nowMs) -> replicas.askForSnapshot(peer, SnapshotPurpose.JOINING, nowMs));
        state.addListener(new FleetStateListener() {
            @Override
            public void configurationChanged(ConfigurationDocument document) {
                configuration.changed(document);
            }

            @Override
            public void replicaChanged(ReplicaRecord record) {
                replicas.changed(record, lastNowMs);
            }
        });
    }

    /** Time has passed. */
    public void onTick(double nowMs) {
        tickedAtMs = nowMs;
        lastNowMs = nowMs;
        confirmation.advance(nowMs);
        sampling.onTick(nowMs);
        configuration.onTick(nowMs);
        replicas.onTick(nowMs);
        handover.onTick(nowMs);
        heartbeats.onTick(nowMs);
        configurationConfirmed = confirmation.sinceStart();
        boolean needsNoConfirmation = configurationConfirmed || sampling.self().role() == NodeRole.CONTROLLER;
        if (!joining.done() || !needsNoConfirmation) {
            joining.onTick(digest(nowMs), needsNoConfirmation, nowMs);
        }
        sendDigestIfDue(nowMs);
        if (nowMs >= nextPruneAtMs) {
            nextPruneAtMs = nowMs + PRUNE_MS;
            heartbeats.prune();
        }
        synchronised = joining.done();
        routerCount = sampling.routerCount(nowMs);
        int upperBound = sampling.routerCountUpperBound(nowMs);
        routerCountUpperBound = synchronised ? upperBound : Math.max(upperBound, UPPER_BOUND_OF_A_STRANGER);
        peers = sampling.peers();
    }

    /**
     * When {@link #onTick} has to be called next, steady time in milliseconds: {@link #TICK_MS} after the last time
     * while there is something to spread, else when something falls due. To be asked again after each message.
     */
    public double nextTickMs() {
        boolean busy = !joining.done() || replicas.hasNews();
        double dueMs = busy ? Double.NEGATIVE_INFINITY : Math.min(nextDigestAtMs, sampling.nextDueMs());
        dueMs = Math.min(dueMs, configuration.nextDueMs());
        dueMs = Math.min(dueMs, Math.min(handover.nextDueMs(), heartbeats.nextDueMs()));
        return Math.max(tickedAtMs + TICK_MS, Math.min(tickedAtMs + LONGEST_PAUSE_MS, dueMs));
    }

    private Digest digest(double nowMs) {
        return new Digest(
                state.configuration().version(),
                replicas.digest().count(nowMs),
                replicas.digest().hash(nowMs),
                joining.done(),
                confirmation.ageMs(nowMs));
    }

    private void sendDigestIfDue(double nowMs) {
        if (nowMs < nextDigestAtMs) {
            return;
        }
        nextDigestAtMs = nowMs + DIGEST_MS * (1 - DIGEST_JITTER / 2 + DIGEST_JITTER * random.nextDouble());
        sampling.randomPeers(1).forEach(peer -> outbox.send(peer, digest(nowMs)));
    }

    /** Handles a message if it is of membership or dissemination; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        lastNowMs = nowMs;
        confirmation.advance(nowMs);
        return sampling.onMessage(sender, message, nowMs)
                || onDigestMessage(sender, message, nowMs)
                || onConfigurationMessage(sender, message, nowMs)
                || onReplicaMessage(sender, message, nowMs)
                || onControllerMessage(sender, message, nowMs);
    }

    private boolean onDigestMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof Digest digest) {
            sampling.seen(sender, nowMs);
            confirmation.onStatement(digest, state.configuration().version(), nowMs);
            compare(sender, digest, nowMs);
        } else if (message instanceof DigestRequest request) {
            outbox.send(sender, new DigestReply(request.requestId(), digest(nowMs), sampling.ownRouterBound(nowMs)));
        } else if (message instanceof DigestReply reply) {
            onDigestReply(sender, reply, nowMs);
        } else {
            return false;
        }
        return true;
    }

    private void onDigestReply(SocketAddress sender, DigestReply reply, double nowMs) {
        Optional<Double> askedAtMs = joining.onReply(sender, reply, nowMs);
        if (askedAtMs.isPresent()) {
            sampling.learnRouterBound(reply.routerBound(), nowMs);
            confirmation.onAnswer(reply.digest(), state.configuration().version(), askedAtMs.get());
            compare(sender, reply.digest(), nowMs);
        }
    }

    private boolean onConfigurationMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ConfigurationUpdate update) {
            configuration.onUpdate(sender, update, nowMs);
        } else if (message instanceof ConfigurationPull pull) {
            configuration.onPull(sender, pull);
        } else {
            return false;
        }
        return true;
    }

    private boolean onReplicaMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ReplicaUpdate update) {
            onReplicaUpdate(sender, update, nowMs);
        } else if (message instanceof BucketHashes hashes) {
            replicas.onBucketHashes(sender, hashes, nowMs);
        } else if (message instanceof ReplicaSummary summary) {
            replicas.onSummary(sender, summary, nowMs);
        } else if (message instanceof ReplicaRequest request) {
            replicas.onRequest(sender, request, nowMs);
        } else if (message instanceof ForgottenReplicas forgotten) {
            replicas.onForgotten(forgotten, nowMs);
        } else if (message instanceof SnapshotRequest request) {
            replicas.onSnapshotRequest(sender, request, nowMs);
        } else if (message instanceof ReplicaSnapshot snapshot) {
            replicas.onSnapshot(sender, snapshot, nowMs)
                    .filter(purpose -> purpose == SnapshotPurpose.JOINING)
                    .ifPresent(purpose -> joining.onSnapshot());
        } else {
            return false;
        }
        return true;
    }

    private boolean onControllerMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ReplicaHeld held) {
            handover.onHeld(sender, held);
        } else if (message instanceof HeartbeatBatch batch) {
            heartbeats.onBatch(batch, nowMs);
        } else {
            return false;
        }
        return true;
    }

    /** Sends and asks for what differs from what a peer shows. */
    private void compare(SocketAddress sender, Digest theirs, double nowMs) {
        Digest own = digest(nowMs);
        configuration.shown(sender, theirs.configurationVersion(), nowMs);
        boolean same = own.replicaCount() == theirs.replicaCount() && own.replicaHash() == theirs.replicaHash();
        if (!same) {
            replicas.reconcile(sender, theirs.replicaCount(), nowMs);
        }
    }

    private void onReplicaUpdate(SocketAddress sender, ReplicaUpdate update, double nowMs) {
        replicas.onUpdate(sender, update, nowMs);
        if (update.ackId() != OutstandingRequests.UNASKED) {
            outbox.send(sender, new ReplicaHeld(update.ackId()));
        }
    }

    /** This process is a controller in contact with a quorum, and holds the newest acknowledged configuration. */
    public void confirmConfiguration(double nowMs) {
        confirmation.advance(nowMs);
        confirmation.confirmHere(nowMs);
    }

    /** {@link FleetState#configuration()} was changed by this process: tell the others at once. */
    public void configurationCommitted(double nowMs) {
        configuration.committed();
    }

    /**
     * Merges a record that arose here and tells the others: routers only of what concerns them, so that a
     * heartbeat that
     * changes nothing but its number costs nothing.
     *
     * <p>What needs a confirmation is on its way to a few peers before any can come: whoever relies on it may do so
     * although all controllers are lost at that moment.
     *
     * @param heldElsewhere run once another controller has confirmed that it holds the record; never, if
     * none does. Null
     *     if no confirmation is needed: the record then goes out with the next tick
     */
    public void publish(ReplicaRecord record, Runnable heldElsewhere, double nowMs) {
        lastNowMs = nowMs;
        replicas.arose(record, nowMs);
        ReplicaRecord held = state.replica(record.instanceId());
        if (heldElsewhere != null) {
            replicas.pushAtOnce(record.instanceId(), nowMs);
            handover.start(replicas.spread(held == null ? record : held, nowMs), heldElsewhere, nowMs);
        }
    }

    /** Notes that this controller heard an instance; the other controllers are told with the next batch. */
    public void heard(String instanceId, long callSequence, double nowMs) {
        heartbeats.heard(instanceId, callSequence, nowMs);
    }

    /**
     * When any controller last heard an instance, in this process's steady time; {@link
     * Double#NEGATIVE_INFINITY} if none
     * has told this process of it since its start.
     */
    public double lastHeardMs(String instanceId) {
        return heartbeats.lastHeardMs(instanceId);
    }

    /** Whether this process has caught up with at least one other since its start. */
    public boolean synchronised() {
        return synchronised;
    }

    /**
     * Whether the configuration was known, at some time since the start of this process, to be the newest that a quorum
     * of controllers stands behind; before that it may be an old one, taken from peers that are cut off.
     */
    public boolean configurationConfirmed() {
        return configurationConfirmed;
    }

    /** Routers believed to be running, at least 1. */
    public int routerCount() {
        return routerCount;
    }

    /** More routers than are running, with high probability; at least 1. */
    public int routerCountUpperBound() {
        return routerCountUpperBound;
    }

    /** Peers known at this moment, a random sample of the fleet. */
    public List<NodeDescriptor> peers() {
        return peers;
    }

    /** This process is about to end on purpose: tell the peers. */
    public void leave(double nowMs) {
        sampling.leave();
    }
}
