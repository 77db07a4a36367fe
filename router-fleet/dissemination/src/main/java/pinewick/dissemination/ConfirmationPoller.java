package pinewick.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.ConfirmationReply;
import pinewick.dissemination.FleetMessages.ConfirmationRequest;
import pinewick.membership.NodeRole;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.membership.RandomChoice;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Keeps the {@link ConfigurationFreshness} of a router recent while its configuration has tenants: polls the primary
 * periodically and, if that does not reply with a recent confirmation, some random controllers and routers. A router
 * that cannot reach the primary thus gets confirmations through others, adding up the ages from hop to hop. Any
 * process replies to requests. Control loop only, except for {@link #knownPrimary}.
 */
final class ConfirmationPoller {
    /** The configuration section whose presence makes polling necessary. */
    private static final String TENANTS_SECTION = "tenants";

    private static final double INTERVAL_MS = 500;
    private static final double JITTER = 0.2;
    /** Without a recent confirmation from the primary within this time, others are polled as well, milliseconds. */
    private static final double PRIMARY_TIMEOUT_MS = 250;
    /** A primary in contact with its quorum reports an age of at most this, milliseconds. */
    private static final int RECENT_AGE_MS = 1_000;

    private static final int CONTROLLERS_POLLED = 2;
    private static final int ROUTERS_POLLED = 2;
    /** A reply that arrives later than this is ignored, milliseconds; its confirmation would no longer be recent. */
    private static final double MAX_REPLY_AGE_MS = 2_000;

    private static final int MAX_OUTSTANDING = 32;

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final ConfigurationFreshness freshness;
    private final ConfigurationGossip configuration;
    /** Outstanding requests, without a context of their own. */
    private final OutstandingRequests<Optional<Void>> requests;

    private double nextPollAtMs = Double.NEGATIVE_INFINITY;
    private double pollOthersAtMs = Double.POSITIVE_INFINITY;
    private volatile Optional<SocketAddress> knownPrimary = Optional.empty();

    ConfirmationPoller(
            FleetState state,
            PeerSampling peers,
            Outbox outbox,
            RandomGenerator random,
            ConfigurationFreshness freshness,
            ConfigurationGossip configuration) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
        this.random = random;
        this.freshness = freshness;
        this.configuration = configuration;
        this.requests = new OutstandingRequests<>(MAX_REPLY_AGE_MS, MAX_OUTSTANDING, random);
    }

    private boolean isNeeded() {
        return peers.self().role() == NodeRole.ROUTER
                && state.configuration().sections().containsKey(TENANTS_SECTION);
    }

    /** Sends the requests that are due. */
    void onTick(double nowMs) {
        if (!isNeeded()) {
            return;
        }
        if (nowMs >= nextPollAtMs) {
            nextPollAtMs = nowMs + INTERVAL_MS * (1 - JITTER / 2 + JITTER * random.nextDouble());
            pollOthersAtMs = nowMs;
            knownPrimary.ifPresent(primary -> {
                pollOthersAtMs = nowMs + PRIMARY_TIMEOUT_MS;
                poll(primary, nowMs);
            });
        }
        if (nowMs >= pollOthersAtMs) {
            pollOthersAtMs = Double.POSITIVE_INFINITY;
            pollOthers(nowMs);
        }
    }

    /** When {@link #onTick} has work to do next, milliseconds; positive infinity if it has none. */
    double nextDueMs() {
        return isNeeded() ? Math.min(nextPollAtMs, pollOthersAtMs) : Double.POSITIVE_INFINITY;
    }

    private void poll(SocketAddress peer, double nowMs) {
        outbox.send(peer, new ConfirmationRequest(requests.register(peer, Optional.empty(), nowMs)));
    }

    private void pollOthers(double nowMs) {
        List<SocketAddress> others = new ArrayList<>(draw(peers.controllers(), CONTROLLERS_POLLED));
        others.addAll(draw(peers.routers(), ROUTERS_POLLED));
        others.forEach(peer -> poll(peer, nowMs));
    }

    private List<SocketAddress> draw(List<SocketAddress> addresses, int count) {
        List<SocketAddress> candidates = new ArrayList<>(addresses);
        knownPrimary.ifPresent(candidates::remove);
        return RandomChoice.draw(candidates, count, random);
    }

    /** Replies with the age of the confirmation at this moment, after the request has arrived. */
    void onRequest(SocketAddress sender, ConfirmationRequest request, double nowMs) {
        long version = state.configuration().version();
        SocketAddress primary = knownPrimary.orElse(null);
        outbox.send(sender, new ConfirmationReply(request.requestId(), version, freshness.ageMs(nowMs), primary));
    }

    /** Handles a reply; it is ignored unless it matches an outstanding request to its sender. */
    void onReply(SocketAddress sender, ConfirmationReply reply, double nowMs) {
        requests.complete(reply.requestId(), sender, nowMs).ifPresent(request -> {
            freshness.onReply(reply.configurationVersion(), reply.ageMs(), request.sentAtMs());
            if (reply.configurationVersion() > state.configuration().version()) {
                configuration.onPeerVersion(sender, reply.configurationVersion(), nowMs);
            }
            boolean isFromPrimary = knownPrimary.filter(sender::equals).isPresent();
            if (isFromPrimary && isRecent(reply.ageMs())) {
                pollOthersAtMs = Double.POSITIVE_INFINITY;
            }
            learnPrimary(sender, reply, nowMs);
        });
    }

    private static boolean isRecent(int ageMs) {
        return ageMs != ConfigurationFreshness.NEVER && ageMs <= RECENT_AGE_MS;
    }

    /**
     * Updates the known primary from a reply. A router accepts the primary that a controller reports, since a
     * controller drops it soon after the primary is lost. The primary reported by another router is accepted only
     * while this router knows none. A newly learned primary is polled at once.
     */
    private void learnPrimary(SocketAddress sender, ConfirmationReply reply, double nowMs) {
        if (!isNeeded() || reply.primary() == null) {
            return;
        }
        boolean isController = peers.controllers().contains(sender);
        boolean isNew = knownPrimary.filter(reply.primary()::equals).isEmpty();
        if (isNew && (isController || knownPrimary.isEmpty())) {
            setKnownPrimary(Optional.of(reply.primary()));
            if (!reply.primary().equals(sender)) {
                poll(reply.primary(), nowMs);
            }
        }
    }

    /** Sets the known primary by its internal address; a controller learns it from replication. */
    void setKnownPrimary(Optional<SocketAddress> internalAddress) {
        knownPrimary = internalAddress;
    }

    /** The internal address of the known primary, empty for none. Any thread. */
    Optional<SocketAddress> knownPrimary() {
        return knownPrimary;
    }
}
