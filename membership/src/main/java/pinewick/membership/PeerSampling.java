package pinewick.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.membership.MembershipMessages.Leaving;
import pinewick.membership.MembershipMessages.PeerEntry;
import pinewick.membership.MembershipMessages.ShuffleReply;
import pinewick.membership.MembershipMessages.ShuffleRequest;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * A process's view of the fleet after Cyclon (Voulgaris and others, 2005): once a period it offers a few entries to the
 * peer it has heard of longest ago and gets a few of that peer's. Controllers have a part of the view of their own, so
 * that each process always knows some, and controllers know each other. A peer that does not answer twice is dropped.
 * Seeds, and controllers that were lost, are tried again now and then.
 */
public final class PeerSampling {
    /** Routers in a view; a smaller fleet is known whole. */
    public static final int ROUTER_CAPACITY = 30;

    /** Controllers in a view. */
    public static final int CONTROLLER_CAPACITY = 16;

    private static final double SHUFFLE_MS = 1_000;
    private static final double EARLY_SHUFFLE_MS = 300;
    private static final double EARLY_MS = 5_000;
    private static final double JITTER = 0.2;
    private static final double ANSWER_MS = 400;
    /** A reply that comes later than this counts for nothing. */
    private static final double LATEST_REPLY_MS = 2_000;

    private static final int MOST_OUTSTANDING = 64;
    /** The round of requests beside the regular ones. */
    private static final int NO_ROUND = 0;

    private static final double CONTROLLER_RETRY_MS = 500;
    private static final double ROUTER_RETRY_MS = 1_000;
    private static final int ROUTERS_IN_SAMPLE = 8;
    private static final int ROUTERS_IN_EARLY_SAMPLE = 16;
    private static final int CONTROLLERS_IN_SAMPLE = 5;
    private static final int CONTROLLER_TURN = 4;
    private static final double STALE_CONTROLLER_MS = 6_000;
    private static final int LOST_ROUTER_TURN = 3;
    private static final int LEAVING_FANOUT = 5;

    private final List<SocketAddress> seeds;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final PartialView routers = new PartialView(ROUTER_CAPACITY);
    private final PartialView controllers = new PartialView(CONTROLLER_CAPACITY);
    private final LostPeers lost = new LostPeers();
    /** Shuffles without a reply, with their rounds. */
    private final OutstandingRequests<Integer> requests;
    /** Controllers in the view that have not spoken to this process yet; kept by controllers only. */
    private final Set<SocketAddress> unmet = new LinkedHashSet<>();

    private NodeDescriptor self;
    private FleetSizeEstimator size;
    private double startedAtMs = Double.NaN;
    private double nextShuffleAtMs;
    private double nextRetryAtMs;
    private int round;
    private int retries;
    private Pending pending;

    /** A shuffle without an answer yet. */
    private record Pending(
            KnownPeer target, int round, double firstSentAtMs, double sentAtMs, Set<SocketAddress> offered) {}

    /**
     * @param self this process
     * @param seeds addresses of some controllers
     * @param outbox takes messages to peers
     * @param random source of chance
     */
    public PeerSampling(NodeDescriptor self, List<SocketAddress> seeds, Outbox outbox, RandomGenerator random) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.outbox = outbox;
        this.random = random;
        this.requests = new OutstandingRequests<>(LATEST_REPLY_MS, MOST_OUTSTANDING, random);
    }

    /** This process, with the incarnation it has now. */
    public NodeDescriptor self() {
        return self;
    }

    /** Every peer in the view. */
    public List<NodeDescriptor> peers() {
        List<NodeDescriptor> peers = new ArrayList<>(routers.size() + controllers.size());
        controllers.all().forEach(peer -> peers.add(peer.node()));
        routers.all().forEach(peer -> peers.add(peer.node()));
        return peers;
    }

    /** How many peers are in the view. */
    public int viewSize() {
        return routers.size() + controllers.size();
    }

    /** Addresses of every controller in the view, this process left out. */
    public List<SocketAddress> controllers() {
        return addresses(controllers.all());
    }

    /** Addresses of routers in the view, a random sample of them all. */
    public List<SocketAddress> routers() {
        return addresses(routers.all());
    }

    private static List<SocketAddress> addresses(Collection<KnownPeer> peers) {
        List<SocketAddress> addresses = new ArrayList<>(peers.size());
        peers.forEach(peer -> addresses.add(peer.node().address()));
        return addresses;
    }

    /** Up to {@code count} addresses drawn at random from the whole view. */
    public List<SocketAddress> randomPeers(int count) {
        List<SocketAddress> addresses = addresses(controllers.all());
        addresses.addAll(addresses(routers.all()));
        return RandomChoice.draw(addresses, count, random);
    }

    /** Routers believed to run. */
    public int routerCount(double nowMs) {
        return size == null ? 1 : size.estimate(nowMs);
    }

    /** The highest number of routers that this process has counted itself lately, as an upper bound. */
    public int ownRouterBound(double nowMs) {
        return size == null ? 1 : size.ownBound(nowMs);
    }

    /** A peer has held this bound of its own when this process had just started. */
    public void learnRouterBound(int upperBound, double nowMs) {
        startIfNew(nowMs);
        size.learnBound(upperBound, nowMs);
    }

    /** More routers than run, with high probability. */
    public int routerCountUpperBound(double nowMs) {
        return size == null ? 1 : size.upperBound(nowMs);
    }

    /** Time has passed. */
    public void onTick(double nowMs) {
        startIfNew(nowMs);
        checkPending(nowMs);
        if (nowMs >= nextShuffleAtMs) {
            shuffle(nowMs);
            nextShuffleAtMs = nowMs + shufflePeriod(nowMs);
        }
        if (nowMs >= nextRetryAtMs) {
            retryLost(nowMs);
            nextRetryAtMs = nowMs + retryPeriod();
        }
        int routersKnown = routers.size() + (self.role() == NodeRole.ROUTER ? 1 : 0);
        size.onTick(routersKnown, routers.full(), nowMs);
    }

    /** When {@link #onTick} has something to do next, steady time in milliseconds. */
    public double nextDueMs() {
        double answerDueMs = pending == null ? Double.POSITIVE_INFINITY : pending.sentAtMs + ANSWER_MS;
        return Math.min(answerDueMs, Math.min(nextShuffleAtMs, nextRetryAtMs));
    }

    private void startIfNew(double nowMs) {
        if (Double.isNaN(startedAtMs)) {
            startedAtMs = nowMs;
            size = new FleetSizeEstimator(self, nowMs);
            nextRetryAtMs = nowMs + retryPeriod();
        }
    }

    private boolean early(double nowMs) {
        return nowMs - startedAtMs < EARLY_MS;
    }

    private double shufflePeriod(double nowMs) {
        double period = early(nowMs) || controllers.size() == 0 ? EARLY_SHUFFLE_MS : SHUFFLE_MS;
        return period * (1 - JITTER / 2 + JITTER * random.nextDouble());
    }

    private double retryPeriod() {
        return self.role() == NodeRole.CONTROLLER ? CONTROLLER_RETRY_MS : ROUTER_RETRY_MS;
    }

    private void shuffle(double nowMs) {
        round++;
        if (controllers.size() == 0) {
            seeds.forEach(seed -> sendRequest(seed, round, nowMs));
        }
        KnownPeer target = pending == null ? shuffleTarget(nowMs) : null;
        if (target != null) {
            Set<SocketAddress> offered = sendRequest(target.node().address(), round, nowMs);
            pending = new Pending(target, round, nowMs, nowMs, offered);
        }
    }

    private KnownPeer shuffleTarget(double nowMs) {
        KnownPeer controller = controllers.oldest();
        KnownPeer router = routers.oldest();
        if (controller == null || router == null) {
            return controller == null ? router : controller;
        }
        boolean stale = nowMs - controller.madeAtMs() > STALE_CONTROLLER_MS && round % 2 == 0;
        return stale || round % CONTROLLER_TURN == 0 ? controller : router;
    }

    /** Asks a peer to exchange entries; returns the addresses of those offered. */
    private Set<SocketAddress> sendRequest(SocketAddress peer, int ofRound, double nowMs) {
        List<PeerEntry> sample = sampleFor(peer, CONTROLLERS_IN_SAMPLE, nowMs);
        long requestId = requests.open(peer, ofRound, nowMs);
        outbox.send(peer, new ShuffleRequest(requestId, ownEntry(nowMs), sample, size.sketch(nowMs)));
        return offeredRouters(sample);
    }

    private List<PeerEntry> sampleFor(SocketAddress peer, int controllerCount, double nowMs) {
        int routerCount = early(nowMs) ? ROUTERS_IN_EARLY_SAMPLE : ROUTERS_IN_SAMPLE;
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

    private void checkPending(double nowMs) {
        if (pending == null || nowMs - pending.sentAtMs < ANSWER_MS) {
            return;
        }
        if (pending.sentAtMs == pending.firstSentAtMs) {
            SocketAddress address = pending.target.node().address();
            Set<SocketAddress> offered = sendRequest(address, pending.round, nowMs);
            offered.addAll(pending.offered);
            pending = new Pending(pending.target, pending.round, pending.firstSentAtMs, nowMs, offered);
        } else {
            drop(pending.target, pending.firstSentAtMs, nowMs);
            pending = null;
        }
    }

    /** Drops a peer that did not answer; what it said before the first question does not bring it back. */
    private void drop(KnownPeer peer, double askedAtMs, double nowMs) {
        if (viewOf(peer.node()).remove(peer.node().address()) != null) {
            lost.silent(peer.node(), peer.heartbeatAt(askedAtMs), nowMs);
        }
    }

    private PartialView viewOf(NodeDescriptor node) {
        return node.role() == NodeRole.CONTROLLER ? controllers : routers;
    }

    /** Tries seeds and lost controllers again, and at times a lost router. */
    private void retryLost(double nowMs) {
        retries++;
        Set<SocketAddress> missing = new LinkedHashSet<>(lost.worthRetrying(NodeRole.CONTROLLER, nowMs));
        missing.addAll(seeds);
        unmet.removeIf(address -> controllers.get(address) == null);
        missing.addAll(unmet);
        missing.removeIf(address -> controllers.get(address) != null && !unmet.contains(address));
        int count = self.role() == NodeRole.CONTROLLER ? missing.size() : 1;
        for (SocketAddress address : RandomChoice.draw(new ArrayList<>(missing), count, random)) {
            sendRequest(address, NO_ROUND, nowMs);
        }
        if (retries % LOST_ROUTER_TURN == 0) {
            List<SocketAddress> lostRouters = lost.worthRetrying(NodeRole.ROUTER, nowMs);
            RandomChoice.draw(lostRouters, 1, random).forEach(address -> sendRequest(address, NO_ROUND, nowMs));
        }
    }

    /**
     * A peer has shown itself by another message. A controller that lacks it, and has room for routers, asks to
     * exchange entries: after a start of all controllers they would know no router until one happens to ask them.
     */
    public void seen(SocketAddress peer, double nowMs) {
        boolean known = routers.get(peer) != null || controllers.get(peer) != null;
        if (self.role() == NodeRole.CONTROLLER && !known && !routers.full()) {
            startIfNew(nowMs);
            sendRequest(peer, NO_ROUND, nowMs);
        }
    }

    /** Handles a message if it is of membership; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        startIfNew(nowMs);
        if (message instanceof ShuffleRequest request) {
            onRequest(sender, request, nowMs);
        } else if (message instanceof ShuffleReply reply) {
            onReply(sender, reply, nowMs);
        } else if (message instanceof Leaving leaving) {
            onLeaving(leaving, nowMs);
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
        addReminderOfLaterLife(request.self(), sample);
        size.join(request.sketch(), nowMs);
        outbox.send(sender, new ShuffleReply(request.requestId(), ownEntry(nowMs), sample, size.sketch(nowMs)));
        mergeFrom(sender, request.self(), request.sample(), offered, nowMs);
    }

    /** Tells a process that started again with a lower incarnation what it has to exceed. */
    private void addReminderOfLaterLife(PeerEntry entry, List<PeerEntry> sample) {
        NodeDescriptor node = entry.node();
        KnownPeer known = viewOf(node).get(node.address());
        if (known != null && known.entry().newerThan(entry)) {
            sample.add(known.entry());
        } else if (!lost.admits(entry)) {
            sample.add(lost.entryOf(node.address()));
        }
    }

    /** A reply to another life of this process, a second one and a late one count for nothing. */
    private void onReply(SocketAddress sender, ShuffleReply reply, double nowMs) {
        Optional<OutstandingRequests.Match<Integer>> request = requests.close(reply.requestId(), sender, nowMs);
        if (request.isEmpty()) {
            return;
        }
        Set<SocketAddress> offered = Set.of();
        boolean awaited = pending != null
                && pending.round == request.get().context()
                && pending.target.node().address().equals(sender);
        if (awaited) {
            offered = pending.offered;
            pending = null;
        }
        size.join(reply.sketch(), nowMs);
        mergeFrom(sender, reply.self(), reply.sample(), offered, nowMs);
    }

    private void mergeFrom(
            SocketAddress sender, PeerEntry peer, List<PeerEntry> sample, Set<SocketAddress> offered, double nowMs) {
        unmet.remove(sender);
        if (peer.node().address().equals(sender) && lost.heard(peer.node())) {
            viewOf(peer.node()).offer(peer, offered, nowMs);
        }
        for (PeerEntry entry : sample) {
            if (entry.node().address().equals(self.address())) {
                outliveEarlierLife(sender, entry, nowMs);
            } else if (lost.admits(entry)) {
                boolean introduce = isNewController(entry.node());
                viewOf(entry.node()).offer(entry, offered, nowMs);
                if (introduce) {
                    unmet.add(entry.node().address());
                    sendRequest(entry.node().address(), NO_ROUND, nowMs);
                }
            }
        }
    }

    /** Controllers make themselves known to each other at once: replication needs all of them. */
    private boolean isNewController(NodeDescriptor node) {
        return self.role() == NodeRole.CONTROLLER
                && node.role() == NodeRole.CONTROLLER
                && controllers.get(node.address()) == null;
    }

    /** The sender knows an earlier life of this process: exceed its incarnation, so that peers take this one. */
    private void outliveEarlierLife(SocketAddress sender, PeerEntry entry, double nowMs) {
        long incarnation = entry.node().incarnation();
        boolean laterThanNow = incarnation == self.incarnation()
                && entry.heartbeat() > ownEntry(nowMs).heartbeat();
        if (incarnation > self.incarnation() || laterThanNow) {
            self = new NodeDescriptor(self.address(), incarnation + 1, self.role(), self.zone());
        }
        if (incarnation < self.incarnation()) {
            sendRequest(sender, NO_ROUND, nowMs);
        }
    }

    private void onLeaving(Leaving leaving, double nowMs) {
        NodeDescriptor node = leaving.node();
        KnownPeer known = viewOf(node).get(node.address());
        if (known != null && known.node().incarnation() > node.incarnation()) {
            return;
        }
        if (lost.left(node, nowMs)) {
            viewOf(node).remove(node.address());
            randomPeers(LEAVING_FANOUT).forEach(peer -> outbox.send(peer, leaving));
        }
    }

    /** Tells the peers that this process is about to end. */
    public void leave() {
        peers().forEach(peer -> outbox.send(peer.address(), new Leaving(self)));
    }
}
