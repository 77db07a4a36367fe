package pinewick.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.membership.MembershipMessages.LeaveAnnouncement;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleReply;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.membership.MembershipMessages.SizeSketch;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * A process's partial view of the fleet, after Cyclon (Voulgaris and others, 2005). Periodically it shuffles: it sends
 * a sample of its entries to the peer with the oldest entry, and receives a sample of that peer's. Controllers are kept
 * in a separate view, so that each process always knows some, and controllers know each other. A peer that leaves a
 * request and its retry unanswered becomes unreachable. Seeds and unreachable controllers are retried at intervals.
 *
 * <p>Not thread-safe: control loop only.
 */
public final class PeerSampling {
    /** Maximum number of routers in the view; a fleet with fewer routers is known completely. */
    public static final int ROUTER_CAPACITY = 30;

    /** Maximum number of controllers in the view. */
    public static final int CONTROLLER_CAPACITY = 16;

    private static final double SHUFFLE_INTERVAL_MS = 1_000;
    private static final double STARTUP_SHUFFLE_INTERVAL_MS = 300;
    private static final double STARTUP_MS = 5_000;
    /** Width of the range of the shuffle interval, as a fraction of the interval. */
    private static final double JITTER = 0.2;

    private static final double REPLY_TIMEOUT_MS = 400;
    /** A reply that arrives later than this after its request is ignored. */
    private static final double MAX_REPLY_AGE_MS = 2_000;

    private static final int MAX_OUTSTANDING_REQUESTS = 64;
    /** The shuffle number of requests that are not part of a regular shuffle. */
    private static final int OUTSIDE_SHUFFLE = 0;

    private static final double CONTROLLER_RETRY_INTERVAL_MS = 500;
    private static final double ROUTER_RETRY_INTERVAL_MS = 1_000;
    private static final int ROUTERS_IN_SAMPLE = 8;
    private static final int ROUTERS_IN_STARTUP_SAMPLE = 16;
    private static final int CONTROLLERS_IN_SAMPLE = 5;
    private static final int SHUFFLES_PER_CONTROLLER = 4;
    private static final double STALE_CONTROLLER_AFTER_MS = 6_000;
    private static final int RETRIES_PER_UNREACHABLE_ROUTER = 3;
    private static final int LEAVE_FANOUT = 5;

    private final List<SocketAddress> seeds;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final PartialView routers = new PartialView(ROUTER_CAPACITY);
    private final PartialView controllers = new PartialView(CONTROLLER_CAPACITY);
    private final UnreachablePeers unreachable = new UnreachablePeers();
    /** Requests that wait for a reply, with the number of the shuffle that sent them. */
    private final OutstandingRequests<Integer> requests;
    /** Controllers in the view that this process has not received a message from yet; used by controllers only. */
    private final Set<SocketAddress> awaitingContact = new LinkedHashSet<>();

    private NodeDescriptor self;
    private Optional<FleetSizeEstimator> sizeEstimator = Optional.empty();
    private double startedAtMs = Double.NaN;
    private double nextShuffleAtMs;
    private double nextRetryAtMs;
    private int shuffleNumber;
    private int retryCount;
    private Optional<PendingShuffle> pending = Optional.empty();

    /** The shuffle whose reply is awaited; it is retried once. */
    private record PendingShuffle(
            KnownPeer target, int shuffleNumber, double firstSentAtMs, double sentAtMs, Set<SocketAddress> offered) {}

    /**
     * @param self this process
     * @param seeds addresses of controllers to contact first
     * @param outbox sends messages to peers
     * @param random source of randomness
     */
    public PeerSampling(NodeDescriptor self, List<SocketAddress> seeds, Outbox outbox, RandomGenerator random) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.outbox = outbox;
        this.random = random;
        this.requests = new OutstandingRequests<>(MAX_REPLY_AGE_MS, MAX_OUTSTANDING_REQUESTS, random);
    }

    /** This process, with its current incarnation. */
    public NodeDescriptor self() {
        return self;
    }

    /** Every peer in the view, controllers first. */
    public List<NodeDescriptor> peers() {
        List<NodeDescriptor> peers = new ArrayList<>(routers.size() + controllers.size());
        controllers.all().forEach(peer -> peers.add(peer.node()));
        routers.all().forEach(peer -> peers.add(peer.node()));
        return peers;
    }

    /** Number of peers in the view. */
    public int viewSize() {
        return routers.size() + controllers.size();
    }

    /** Addresses of all controllers in the view; this process is not among them. */
    public List<SocketAddress> controllers() {
        return addresses(controllers.all());
    }

    /** Addresses of all routers in the view, which are a random sample of the fleet's. */
    public List<SocketAddress> routers() {
        return addresses(routers.all());
    }

    private static List<SocketAddress> addresses(Collection<KnownPeer> peers) {
        List<SocketAddress> addresses = new ArrayList<>(peers.size());
        peers.forEach(peer -> addresses.add(peer.node().address()));
        return addresses;
    }

    /** Up to {@code count} addresses drawn at random from both views. */
    public List<SocketAddress> randomPeers(int count) {
        List<SocketAddress> addresses = addresses(controllers.all());
        addresses.addAll(addresses(routers.all()));
        return RandomChoice.draw(addresses, count, random);
    }

    /** Estimated number of running routers; 1 before the first tick or message. */
    public int routerCount(double nowMs) {
        return sizeEstimator.map(estimator -> estimator.estimate(nowMs)).orElse(1);
    }

    /** Upper bound of the number of routers as counted by this process recently, without the bounds of peers. */
    public int ownRouterBound(double nowMs) {
        return sizeEstimator.map(estimator -> estimator.ownBound(nowMs)).orElse(1);
    }

    /** Adds the own bound of a peer, which it reports to a process that has just started. */
    public void addPeerRouterBound(int upperBound, double nowMs) {
        startIfNeeded(nowMs).addPeerBound(upperBound, nowMs);
    }

    /** Upper bound of the number of running routers, with high probability; 1 before the first tick or message. */
    public int routerCountUpperBound(double nowMs) {
        return sizeEstimator.map(estimator -> estimator.upperBound(nowMs)).orElse(1);
    }

    /** Performs all due work: reply time-outs, shuffles, retries of seeds and unreachable peers, fleet size samples. */
    public void onTick(double nowMs) {
        FleetSizeEstimator estimator = startIfNeeded(nowMs);
        checkReplyTimeout(nowMs);
        if (nowMs >= nextShuffleAtMs) {
            shuffle(nowMs);
            nextShuffleAtMs = nowMs + shuffleIntervalMs(nowMs);
        }
        if (nowMs >= nextRetryAtMs) {
            retryUnreachable(nowMs);
            nextRetryAtMs = nowMs + retryIntervalMs();
        }
        int routersKnown = routers.size() + (self.role() == NodeRole.ROUTER ? 1 : 0);
        estimator.onTick(routersKnown, routers.isFull(), nowMs);
    }

    /** When {@link #onTick} has work next, milliseconds on the steady clock. */
    public double nextDueMs() {
        double replyDueMs =
                pending.map(shuffle -> shuffle.sentAtMs + REPLY_TIMEOUT_MS).orElse(Double.POSITIVE_INFINITY);
        return Math.min(replyDueMs, Math.min(nextShuffleAtMs, nextRetryAtMs));
    }

    private FleetSizeEstimator startIfNeeded(double nowMs) {
        if (sizeEstimator.isEmpty()) {
            startedAtMs = nowMs;
            sizeEstimator = Optional.of(new FleetSizeEstimator(self, nowMs));
            nextRetryAtMs = nowMs + retryIntervalMs();
        }
        return sizeEstimator.get();
    }

    private boolean isStartingUp(double nowMs) {
        return nowMs - startedAtMs < STARTUP_MS;
    }

    private double shuffleIntervalMs(double nowMs) {
        double period =
                isStartingUp(nowMs) || controllers.size() == 0 ? STARTUP_SHUFFLE_INTERVAL_MS : SHUFFLE_INTERVAL_MS;
        return period * (1 - JITTER / 2 + JITTER * random.nextDouble());
    }

    private double retryIntervalMs() {
        return self.role() == NodeRole.CONTROLLER ? CONTROLLER_RETRY_INTERVAL_MS : ROUTER_RETRY_INTERVAL_MS;
    }

    private void shuffle(double nowMs) {
        shuffleNumber++;
        if (controllers.size() == 0) {
            seeds.forEach(seed -> sendRequest(seed, shuffleNumber, nowMs));
        }
        if (pending.isEmpty()) {
            pending = shuffleTarget(nowMs).map(target -> {
                Set<SocketAddress> offered = sendRequest(target.node().address(), shuffleNumber, nowMs);
                return new PendingShuffle(target, shuffleNumber, nowMs, nowMs, offered);
            });
        }
    }

    private Optional<KnownPeer> shuffleTarget(double nowMs) {
        Optional<KnownPeer> controller = controllers.oldest();
        Optional<KnownPeer> router = routers.oldest();
        if (controller.isEmpty() || router.isEmpty()) {
            return controller.or(() -> router);
        }
        boolean isStale = nowMs - controller.get().entryTimeMs() > STALE_CONTROLLER_AFTER_MS && shuffleNumber % 2 == 0;
        return isStale || shuffleNumber % SHUFFLES_PER_CONTROLLER == 0 ? controller : router;
    }

    /** Requests an exchange of entries with a peer; returns the addresses of the routers in the sample sent. */
    private Set<SocketAddress> sendRequest(SocketAddress peer, int requestShuffleNumber, double nowMs) {
        List<PeerEntry> sample = sampleFor(peer, CONTROLLERS_IN_SAMPLE, nowMs);
        long requestId = requests.register(peer, requestShuffleNumber, nowMs);
        SizeSketch sketch = startIfNeeded(nowMs).sketch(nowMs);
        outbox.send(peer, new ShuffleRequest(requestId, ownEntry(nowMs), sample, sketch));
        return offeredRouters(sample);
    }

    private List<PeerEntry> sampleFor(SocketAddress peer, int controllerCount, double nowMs) {
        int routerCount = isStartingUp(nowMs) ? ROUTERS_IN_STARTUP_SAMPLE : ROUTERS_IN_SAMPLE;
        List<PeerEntry> sample = new ArrayList<>(controllers.sample(controllerCount, peer, random));
        sample.addAll(routers.sample(routerCount, peer, random));
        return sample;
    }

    private static Set<SocketAddress> offeredRouters(List<PeerEntry> sample) {
        Set<SocketAddress> offered = new LinkedHashSet<>();
        for (PeerEntry entry : sample) {
            if (entry.node().role() == NodeRole.ROUTER) {
                offered.add(entry.node().address());
            }
        }
        return offered;
    }

    private PeerEntry ownEntry(double nowMs) {
        return new PeerEntry(self, (long) (nowMs - startedAtMs));
    }

    private void checkReplyTimeout(double nowMs) {
        if (pending.isEmpty() || nowMs - pending.get().sentAtMs < REPLY_TIMEOUT_MS) {
            return;
        }
        PendingShuffle shuffle = pending.get();
        if (shuffle.sentAtMs == shuffle.firstSentAtMs) {
            SocketAddress address = shuffle.target.node().address();
            Set<SocketAddress> offered = sendRequest(address, shuffle.shuffleNumber, nowMs);
            offered.addAll(shuffle.offered);
            pending = Optional.of(
                    new PendingShuffle(shuffle.target, shuffle.shuffleNumber, shuffle.firstSentAtMs, nowMs, offered));
        } else {
            markUnreachable(shuffle.target, shuffle.firstSentAtMs, nowMs);
            pending = Optional.empty();
        }
    }

    /** Removes a peer that did not answer; an entry that is older than the first request does not bring it back. */
    private void markUnreachable(KnownPeer peer, double firstSentAtMs, double nowMs) {
        if (viewOf(peer.node()).remove(peer.node().address())) {
            unreachable.markUnreachable(peer.node(), peer.heartbeatAt(firstSentAtMs), nowMs);
        }
    }

    private PartialView viewOf(NodeDescriptor node) {
        return node.role() == NodeRole.CONTROLLER ? controllers : routers;
    }

    /** Contacts missing seeds and unreachable controllers, and at a lower rate an unreachable router. */
    private void retryUnreachable(double nowMs) {
        retryCount++;
        Set<SocketAddress> retryTargets = new LinkedHashSet<>(unreachable.retryCandidates(NodeRole.CONTROLLER, nowMs));
        retryTargets.addAll(seeds);
        awaitingContact.removeIf(address -> !controllers.contains(address));
        retryTargets.addAll(awaitingContact);
        retryTargets.removeIf(address -> controllers.contains(address) && !awaitingContact.contains(address));
        int count = self.role() == NodeRole.CONTROLLER ? retryTargets.size() : 1;
        for (SocketAddress address : RandomChoice.draw(new ArrayList<>(retryTargets), count, random)) {
            sendRequest(address, OUTSIDE_SHUFFLE, nowMs);
        }
        if (retryCount % RETRIES_PER_UNREACHABLE_ROUTER == 0) {
            List<SocketAddress> unreachableRouters = unreachable.retryCandidates(NodeRole.ROUTER, nowMs);
            RandomChoice.draw(unreachableRouters, 1, random)
                    .forEach(address -> sendRequest(address, OUTSIDE_SHUFFLE, nowMs));
        }
    }

    /**
     * Handles contact by a message that is not one of {@link MembershipMessages}. A controller that does not know the
     * sender, and whose router view is not full, requests an exchange of entries: otherwise, after a restart of all
     * controllers, they would know no router until one happens to shuffle with them.
     */
    public void onContact(SocketAddress peer, double nowMs) {
        boolean isKnown = routers.contains(peer) || controllers.contains(peer);
        if (self.role() == NodeRole.CONTROLLER && !isKnown && !routers.isFull()) {
            startIfNeeded(nowMs);
            sendRequest(peer, OUTSIDE_SHUFFLE, nowMs);
        }
    }

    /** Handles a message if it is one of {@link MembershipMessages}; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        startIfNeeded(nowMs);
        if (message instanceof ShuffleRequest request) {
            onRequest(sender, request, nowMs);
        } else if (message instanceof ShuffleReply reply) {
            onReply(sender, reply, nowMs);
        } else if (message instanceof LeaveAnnouncement announcement) {
            onLeave(announcement, nowMs);
        } else {
            return false;
        }
        return true;
    }

    private void onRequest(SocketAddress sender, ShuffleRequest request, double nowMs) {
        int controllerCount =
                request.self().node().role() == NodeRole.CONTROLLER ? CONTROLLER_CAPACITY : CONTROLLERS_IN_SAMPLE;
        List<PeerEntry> sample = sampleFor(sender, controllerCount, nowMs);
        Set<SocketAddress> offered = offeredRouters(sample);
        addNewerIncarnation(request.self(), sample);
        FleetSizeEstimator estimator = startIfNeeded(nowMs);
        estimator.merge(request.sketch(), nowMs);
        outbox.send(sender, new ShuffleReply(request.requestId(), ownEntry(nowMs), sample, estimator.sketch(nowMs)));
        mergeFrom(sender, request.self(), request.sample(), offered, nowMs);
    }

    /** Adds the entry that a process which restarted with a lower incarnation has to exceed, if there is one. */
    private void addNewerIncarnation(PeerEntry entry, List<PeerEntry> sample) {
        NodeDescriptor node = entry.node();
        Optional<PeerEntry> newer =
                viewOf(node).find(node.address()).map(KnownPeer::entry).filter(known -> known.isNewerThan(entry));
        if (newer.isPresent()) {
            sample.add(newer.get());
        } else if (!unreachable.admits(entry)) {
            unreachable.lastEntryOf(node.address()).ifPresent(sample::add);
        }
    }

    /** Ignores replies to another incarnation of this process, duplicates and late replies. */
    private void onReply(SocketAddress sender, ShuffleReply reply, double nowMs) {
        Optional<OutstandingRequests.Completed<Integer>> request = requests.complete(reply.requestId(), sender, nowMs);
        if (request.isEmpty()) {
            return;
        }
        Set<SocketAddress> offered = Set.of();
        Optional<PendingShuffle> answered =
                pending.filter(shuffle -> shuffle.shuffleNumber == request.get().context()
                        && shuffle.target.node().address().equals(sender));
        if (answered.isPresent()) {
            offered = answered.get().offered;
            pending = Optional.empty();
        }
        startIfNeeded(nowMs).merge(reply.sketch(), nowMs);
        mergeFrom(sender, reply.self(), reply.sample(), offered, nowMs);
    }

    private void mergeFrom(
            SocketAddress sender, PeerEntry peer, List<PeerEntry> sample, Set<SocketAddress> offered, double nowMs) {
        awaitingContact.remove(sender);
        if (peer.node().address().equals(sender) && unreachable.onContact(peer.node())) {
            viewOf(peer.node()).offer(peer, offered, nowMs);
        }
        for (PeerEntry entry : sample) {
            if (entry.node().address().equals(self.address())) {
                supersedeEarlierIncarnation(sender, entry, nowMs);
            } else if (unreachable.admits(entry)) {
                boolean isNewController = isNewController(entry.node());
                viewOf(entry.node()).offer(entry, offered, nowMs);
                if (isNewController) {
                    awaitingContact.add(entry.node().address());
                    sendRequest(entry.node().address(), OUTSIDE_SHUFFLE, nowMs);
                }
            }
        }
    }

    /** Whether this controller has to contact another at once: replication needs all of them. */
    private boolean isNewController(NodeDescriptor node) {
        return self.role() == NodeRole.CONTROLLER
                && node.role() == NodeRole.CONTROLLER
                && !controllers.contains(node.address());
    }

    /** Exceeds an earlier incarnation of this process that the sender knows, so that peers accept this one. */
    private void supersedeEarlierIncarnation(SocketAddress sender, PeerEntry entry, double nowMs) {
        long incarnation = entry.node().incarnation();
        boolean isAheadOfSelf = incarnation == self.incarnation()
                && entry.heartbeat() > ownEntry(nowMs).heartbeat();
        if (incarnation > self.incarnation() || isAheadOfSelf) {
            self = new NodeDescriptor(self.address(), incarnation + 1, self.role(), self.zone());
        }
        if (incarnation < self.incarnation()) {
            sendRequest(sender, OUTSIDE_SHUFFLE, nowMs);
        }
    }

    private void onLeave(LeaveAnnouncement announcement, double nowMs) {
        NodeDescriptor node = announcement.node();
        boolean hasRestarted = viewOf(node)
                .find(node.address())
                .filter(known -> known.node().incarnation() > node.incarnation())
                .isPresent();
        if (hasRestarted) {
            return;
        }
        if (unreachable.markLeft(node, nowMs)) {
            viewOf(node).remove(node.address());
            randomPeers(LEAVE_FANOUT).forEach(peer -> outbox.send(peer, announcement));
        }
    }

    /** Announces to all peers in the view that this process is shutting down. */
    public void leave() {
        peers().forEach(peer -> outbox.send(peer.address(), new LeaveAnnouncement(self)));
    }
}
