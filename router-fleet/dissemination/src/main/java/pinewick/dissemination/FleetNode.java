package pinewick.dissemination;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.BucketHashes;
import pinewick.dissemination.FleetMessages.ConfigurationPull;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.dissemination.FleetMessages.ConfirmationReply;
import pinewick.dissemination.FleetMessages.ConfirmationRequest;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.dissemination.FleetMessages.DigestReply;
import pinewick.dissemination.FleetMessages.DigestRequest;
import pinewick.dissemination.FleetMessages.ExpiredReplicas;
import pinewick.dissemination.FleetMessages.GossipedReplica;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.ReplicaRequest;
import pinewick.dissemination.FleetMessages.ReplicaSnapshot;
import pinewick.dissemination.FleetMessages.ReplicaSummary;
import pinewick.dissemination.FleetMessages.ReplicaUpdate;
import pinewick.dissemination.FleetMessages.ReplicaUpdateAck;
import pinewick.dissemination.FleetMessages.SnapshotRequest;
import pinewick.dissemination.ReplicaReconciliation.SnapshotPurpose;
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
 * Membership and dissemination at one process. Owned by one thread, the control loop, which calls {@link #onTick}
 * every {@link #TICK_MS} or at {@link #nextTickMs}, passes in every message, and publishes the updates of this
 * process. {@link #isSynchronised}, {@link #isConfigurationConfirmed}, {@link #routerCount}, {@link
 * #routerCountUpperBound} and {@link #peers} return the state as of the last tick; any thread may call them, and
 * {@link #lastHeartbeatMs} as well.
 */
public final class FleetNode {
    /** Interval between two calls of {@link #onTick} while there is work to do, milliseconds. */
    public static final int TICK_MS = 50;

    /** Longest interval between two calls of {@link #onTick}, milliseconds. */
    public static final int MAX_TICK_INTERVAL_MS = 500;

    private static final double DIGEST_INTERVAL_MS = 500;
    private static final double DIGEST_JITTER = 0.2;
    private static final double PRUNE_INTERVAL_MS = 10_000;
    /** Lower limit of {@link #routerCountUpperBound} until the bootstrap is complete. */
    private static final int STARTUP_ROUTER_UPPER_BOUND = 1_000;

    private final FleetState state;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final PeerSampling sampling;
    private final ConfigurationGossip configuration;
    private final GossipedReplicas gossipedReplicas;
    private final ReplicaReconciliation reconciliation;
    private final ReplicaGossip replicas;
    private final AcknowledgedReplicaPush acknowledgedPush;
    private final HeartbeatExchange heartbeatExchange;
    private final Bootstrap bootstrap;
    private final QuorumConfirmation confirmation = new QuorumConfirmation();
    private final ConfigurationFreshness freshness = new ConfigurationFreshness();
    private final ConfirmationPoller confirmationPoller;
    private RemovalDurability removalDurability = RemovalDurability.IN_MEMORY;
    private double nextDigestAtMs;
    private double nextPruneAtMs;
    private double lastTickMs = Double.NEGATIVE_INFINITY;
    private volatile double lastNowMs;
    private volatile boolean synchronised;
    private volatile boolean configurationConfirmed;
    private volatile int routerCount = 1;
    private volatile int routerCountUpperBound = 1;
    private volatile List<NodeDescriptor> peers = List.of();

    /**
     * @param self this process
     * @param seeds internal addresses of some of the controllers
     * @param state the configuration and the replica records of this process; updated by this object
     * @param outbox sends messages to peers
     * @param random source of randomness
     */
    public FleetNode(
            NodeDescriptor self, List<SocketAddress> seeds, FleetState state, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.outbox = outbox;
        this.random = random;
        sampling = new PeerSampling(self, seeds, outbox, random);
        configuration = new ConfigurationGossip(state, sampling, outbox, random);
        confirmationPoller = new ConfirmationPoller(state, sampling, outbox, random, freshness, configuration);
        gossipedReplicas = new GossipedReplicas(state, outbox);
        reconciliation = new ReplicaReconciliation(state, gossipedReplicas, outbox, random);
        replicas = new ReplicaGossip(state, gossipedReplicas, sampling, outbox);
        acknowledgedPush = new AcknowledgedReplicaPush(sampling, outbox, random);
        heartbeatExchange = new HeartbeatExchange(state, sampling, outbox);
        bootstrap = new Bootstrap(
                seeds,
                sampling,
                outbox,
                random,
                (peer, nowMs) -> reconciliation.requestSnapshot(peer, SnapshotPurpose.BOOTSTRAP, nowMs));
        freshness.onConfigurationChanged(state.configuration().version());
        state.addListener(new FleetStateListener() {
            @Override
            public void onConfigurationChanged(ConfigurationDocument document) {
                configuration.onConfigurationChanged(document);
                freshness.onConfigurationChanged(document.version());
            }

            @Override
            public void onReplicaChanged(ReplicaRecord record) {
                replicas.onReplicaChanged(record, lastNowMs);
            }
        });
    }

    /** Runs the timers of membership and dissemination; see {@link #nextTickMs}. */
    public void onTick(double nowMs) {
        lastTickMs = nowMs;
        lastNowMs = nowMs;
        confirmation.advance(nowMs);
        sampling.onTick(nowMs);
        configuration.onTick(nowMs);
        confirmationPoller.onTick(nowMs);
        reconciliation.onTick(nowMs);
        replicas.onTick(nowMs);
        acknowledgedPush.onTick(nowMs);
        heartbeatExchange.onTick(nowMs);
        configurationConfirmed = confirmation.isConfirmedSinceStart();
        boolean needsNoConfirmation = configurationConfirmed || sampling.self().role() == NodeRole.CONTROLLER;
        if (!bootstrap.isDone() || !needsNoConfirmation) {
            bootstrap.onTick(digest(nowMs), needsNoConfirmation, nowMs);
        }
        sendDigestIfDue(nowMs);
        if (nowMs >= nextPruneAtMs) {
            nextPruneAtMs = nowMs + PRUNE_INTERVAL_MS;
            heartbeatExchange.prune();
        }
        synchronised = bootstrap.isDone();
        routerCount = sampling.routerCount(nowMs);
        int upperBound = sampling.routerCountUpperBound(nowMs);
        routerCountUpperBound = synchronised ? upperBound : Math.max(upperBound, STARTUP_ROUTER_UPPER_BOUND);
        peers = sampling.peers();
    }

    /**
     * When {@link #onTick} has to be called next, monotonic time in milliseconds: {@link #TICK_MS} after the last
     * call while there are updates to send, otherwise when the next timer is due. May change with each message.
     */
    public double nextTickMs() {
        boolean hasWork = !bootstrap.isDone() || replicas.hasPendingUpdates();
        double dueMs = hasWork ? Double.NEGATIVE_INFINITY : Math.min(nextDigestAtMs, sampling.nextDueMs());
        dueMs = Math.min(dueMs, Math.min(configuration.nextDueMs(), confirmationPoller.nextDueMs()));
        dueMs = Math.min(dueMs, Math.min(acknowledgedPush.nextDueMs(), heartbeatExchange.nextDueMs()));
        return Math.max(lastTickMs + TICK_MS, Math.min(lastTickMs + MAX_TICK_INTERVAL_MS, dueMs));
    }

    private Digest digest(double nowMs) {
        return new Digest(
                state.configuration().version(),
                reconciliation.digest().count(nowMs),
                reconciliation.digest().hash(nowMs),
                bootstrap.isDone(),
                confirmation.ageMs(nowMs));
    }

    private void sendDigestIfDue(double nowMs) {
        if (nowMs < nextDigestAtMs) {
            return;
        }
        nextDigestAtMs = nowMs + DIGEST_INTERVAL_MS * (1 - DIGEST_JITTER / 2 + DIGEST_JITTER * random.nextDouble());
        sampling.randomPeers(1).forEach(peer -> outbox.send(peer, digest(nowMs)));
    }

    /** Handles a message of membership or of {@link FleetMessages}; returns false for any other message. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        lastNowMs = nowMs;
        confirmation.advance(nowMs);
        return sampling.onMessage(sender, message, nowMs)
                || onDigestMessage(sender, message, nowMs)
                || onConfigurationMessage(sender, message, nowMs)
                || onConfirmationMessage(sender, message, nowMs)
                || onReplicaMessage(sender, message, nowMs)
                || onControllerMessage(sender, message, nowMs);
    }

    private boolean onDigestMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof Digest digest) {
            sampling.onContact(sender, nowMs);
            confirmation.onUnsolicitedDigest(digest, state.configuration().version(), nowMs);
            reconcileWith(sender, digest, nowMs);
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
        Optional<Double> requestSentMs = bootstrap.onReply(sender, reply, nowMs);
        if (requestSentMs.isPresent()) {
            sampling.addPeerRouterBound(reply.routerUpperBound(), nowMs);
            confirmation.onDigestReply(reply.digest(), state.configuration().version(), requestSentMs.get());
            reconcileWith(sender, reply.digest(), nowMs);
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

    private boolean onConfirmationMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ConfirmationRequest request) {
            confirmationPoller.onRequest(sender, request, nowMs);
        } else if (message instanceof ConfirmationReply reply) {
            confirmationPoller.onReply(sender, reply, nowMs);
        } else {
            return false;
        }
        return true;
    }

    private boolean onReplicaMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ReplicaUpdate update) {
            onReplicaUpdate(sender, update, nowMs);
        } else if (message instanceof BucketHashes hashes) {
            reconciliation.onBucketHashes(sender, hashes, nowMs);
        } else if (message instanceof ReplicaSummary summary) {
            reconciliation.onSummary(sender, summary, nowMs);
        } else if (message instanceof ReplicaRequest request) {
            reconciliation.onRequest(sender, request, nowMs);
        } else if (message instanceof ExpiredReplicas expired) {
            reconciliation.onExpired(expired, nowMs);
        } else if (message instanceof SnapshotRequest request) {
            reconciliation.onSnapshotRequest(sender, request, nowMs);
        } else if (message instanceof ReplicaSnapshot snapshot) {
            reconciliation
                    .onSnapshot(sender, snapshot, nowMs)
                    .filter(purpose -> purpose == SnapshotPurpose.BOOTSTRAP)
                    .ifPresent(purpose -> bootstrap.onSnapshot());
        } else {
            return false;
        }
        return true;
    }

    private boolean onControllerMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof ReplicaUpdateAck ack) {
            acknowledgedPush.onAck(sender, ack);
        } else if (message instanceof HeartbeatBatch batch) {
            heartbeatExchange.onBatch(batch, nowMs);
        } else {
            return false;
        }
        return true;
    }

    /** Compares a peer's digest with that of this process, and starts to exchange the differences. */
    private void reconcileWith(SocketAddress sender, Digest theirs, double nowMs) {
        Digest own = digest(nowMs);
        configuration.onPeerVersion(sender, theirs.configurationVersion(), nowMs);
        boolean hasSameRecords =
                own.replicaCount() == theirs.replicaCount() && own.replicaHash() == theirs.replicaHash();
        if (!hasSameRecords) {
            reconciliation.reconcile(sender, theirs.replicaCount(), nowMs);
        }
    }

    private void onReplicaUpdate(SocketAddress sender, ReplicaUpdate update, double nowMs) {
        replicas.onUpdate(sender, update, nowMs);
        if (update.ackId() != OutstandingRequests.NO_REQUEST) {
            List<ReplicaRecord> records =
                    update.records().stream().map(GossipedReplica::record).toList();
            removalDurability.whenDurable(records, () -> outbox.send(sender, new ReplicaUpdateAck(update.ackId())));
        }
    }

    /**
     * Confirms the configuration: this process is a controller in contact with a quorum, and has the newest
     * acknowledged configuration.
     */
    public void confirmConfiguration(double nowMs) {
        confirmation.advance(nowMs);
        confirmation.confirmLocally(nowMs);
    }

    /**
     * Confirms the configuration at the primary, which has applied every configuration that was acknowledged before
     * {@code confirmedAtMs}.
     *
     * @param confirmedAtMs when this process sent the newest heartbeat that a quorum has answered, monotonic
     *     milliseconds
     */
    public void confirmConfigurationUnderLease(double confirmedAtMs) {
        freshness.confirm(confirmedAtMs);
    }

    /**
     * Sets the primary that this controller knows from replication, by its internal address; routers learn it by
     * gossip.
     */
    public void setKnownPrimary(Optional<SocketAddress> internalAddress) {
        confirmationPoller.setKnownPrimary(internalAddress);
    }

    /**
     * The internal address of the primary as far as this process knows, empty for none; it may have failed since.
     * Any thread.
     */
    public Optional<SocketAddress> knownPrimary() {
        return confirmationPoller.knownPrimary();
    }

    /** When the configuration was last known to be the newest. Any thread. */
    public Confirmation freshness() {
        return freshness.latest();
    }

    /** Sets when this process acknowledges the records that another controller sends to be acknowledged. */
    public void setRemovalDurability(RemovalDurability durability) {
        removalDurability = durability;
    }

    /** Pushes {@link FleetState#configuration()}, which this process has just changed, to peers at once. */
    public void publishConfiguration(double nowMs) {
        configuration.publish();
    }

    /**
     * Merges a record and pushes it with the next tick. Only changes that concern routers are pushed, so that a
     * heartbeat that changes only the call sequence causes no messages.
     */
    public void publish(ReplicaRecord record, double nowMs) {
        lastNowMs = nowMs;
        replicas.publish(record, nowMs);
    }

    /**
     * Publishes a record as {@link #publish} does, and sends it to the other controllers until each has acknowledged
     * it. The record is pushed to some peers before any acknowledgement can arrive.
     *
     * @param onAcknowledged run once for each other controller that acknowledges the record; never if none does
     */
    public void publishUntilAcknowledged(ReplicaRecord record, Runnable onAcknowledged, double nowMs) {
        publish(record, nowMs);
        ReplicaRecord merged = state.findReplica(record.instanceId()).orElse(record);
        replicas.pushNow(record.instanceId(), nowMs);
        acknowledgedPush.start(gossipedReplicas.toGossiped(merged, nowMs), onAcknowledged, nowMs);
    }

    /**
     * Records a heartbeat that this controller received, and reports it to the other controllers with the next
     * batch.
     */
    public void recordHeartbeat(String instanceId, long callSequence, double nowMs) {
        heartbeatExchange.onHeartbeat(instanceId, callSequence, nowMs);
    }

    /**
     * When any controller received the last heartbeat of an instance, in monotonic milliseconds of this process;
     * {@link Double#NEGATIVE_INFINITY} if none was reported since the start of this process.
     */
    public double lastHeartbeatMs(String instanceId) {
        return heartbeatExchange.lastHeartbeatMs(instanceId);
    }

    /** Whether this process has completed its bootstrap. */
    public boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Whether a quorum of controllers has confirmed the configuration to be the newest at some time since the start
     * of this process. Until then it may be outdated, received from partitioned peers.
     */
    public boolean isConfigurationConfirmed() {
        return configurationConfirmed;
    }

    /** Estimated number of running routers, at least 1. */
    public int routerCount() {
        return routerCount;
    }

    /** Upper bound of the number of running routers, with high probability; at least 1. */
    public int routerCountUpperBound() {
        return routerCountUpperBound;
    }

    /** The currently known peers, a random sample of the fleet. */
    public List<NodeDescriptor> peers() {
        return peers;
    }

    /** Notifies the peers that this process is shutting down. */
    public void leave(double nowMs) {
        sampling.leave();
    }
}
