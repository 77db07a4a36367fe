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
 * Keeps the {@link ConfigurationFreshness} of a router recent while its configuration has tenants: asks the primary at
 * an interval and, where it does not reply with a recent confirmation, some controllers and routers at random. So a
 * router without a path to the primary learns through others, at whom the ages add up. Any process answers. Control
 * loop only, except for {@link #knownPrimary}.
 */
final class ConfirmationPoller {
    /** The section whose presence makes the freshness of the configuration matter. */
    private static final String TENANTS_SECTION = "tenants";

    private static final double INTERVAL_MS = 500;
    private static final double JITTER = 0.2;
    /** Without a recent confirmation from the primary for this long, others are asked as well. */
    private static final double PRIMARY_TIMEOUT_MS = 250;
    /** A primary whose quorum answers tells a lower age than this. */
    private static final int RECENT_AGE_MS = 1_000;

    private static final int CONTROLLERS_ASKED = 2;
    private static final int ROUTERS_ASKED = 2;
    /** A later reply would confirm nothing recent. */
    private static final double MAX_REPLY_AGE_MS = 2_000;

    private static final int MAX_OUTSTANDING = 32;

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final ConfigurationFreshness freshness;
    private final ConfigurationGossip configuration;
    /** Requests without a reply. Nothing is kept with them but when they were sent. */
    private final OutstandingRequests<Optional<Void>> requests;

    private double nextPollAtMs = Double.NEGATIVE_INFINITY;
    private double askOthersAtMs = Double.POSITIVE_INFINITY;
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

    /** Time has passed. */
    void onTick(double nowMs) {
        if (!isNeeded()) {
            return;
        }
        if (nowMs >= nextPollAtMs) {
            nextPollAtMs = nowMs + INTERVAL_MS * (1 - JITTER / 2 + JITTER * random.nextDouble());
            askOthersAtMs = nowMs;
            knownPrimary.ifPresent(primary -> {
                askOthersAtMs = nowMs + PRIMARY_TIMEOUT_MS;
                ask(primary, nowMs);
            });
        }
        if (nowMs >= askOthersAtMs) {
            askOthersAtMs = Double.POSITIVE_INFINITY;
            askOthers(nowMs);
        }
    }

    /** When {@link #onTick} has work next. */
    double nextDueMs() {
        return isNeeded() ? Math.min(nextPollAtMs, askOthersAtMs) : Double.POSITIVE_INFINITY;
    }

    private void ask(SocketAddress peer, double nowMs) {
        outbox.send(peer, new ConfirmationRequest(requests.register(peer, Optional.empty(), nowMs)));
    }

    private void askOthers(double nowMs) {
        List<SocketAddress> others = new ArrayList<>(draw(peers.controllers(), CONTROLLERS_ASKED));
        others.addAll(draw(peers.routers(), ROUTERS_ASKED));
        others.forEach(peer -> ask(peer, nowMs));
    }

    private List<SocketAddress> draw(List<SocketAddress> addresses, int count) {
        List<SocketAddress> candidates = new ArrayList<>(addresses);
        knownPrimary.ifPresent(candidates::remove);
        return RandomChoice.draw(candidates, count, random);
    }

    /** Answers a request with what this process knows now, after the request has arrived. */
    void onRequest(SocketAddress sender, ConfirmationRequest request, double nowMs) {
        long version = state.configuration().version();
        SocketAddress primary = knownPrimary.orElse(null);
        outbox.send(sender, new ConfirmationReply(request.requestId(), version, freshness.ageMs(nowMs), primary));
    }

    /** A reply counts only if it answers an outstanding request to its sender. */
    void onReply(SocketAddress sender, ConfirmationReply reply, double nowMs) {
        requests.complete(reply.requestId(), sender, nowMs).ifPresent(request -> {
            freshness.onReply(reply.configurationVersion(), reply.ageMs(), request.sentAtMs());
            if (reply.configurationVersion() > state.configuration().version()) {
                configuration.onPeerVersion(sender, reply.configurationVersion(), nowMs);
            }
            boolean isFromPrimary = knownPrimary.filter(sender::equals).isPresent();
            if (isFromPrimary && isRecent(reply.ageMs())) {
                askOthersAtMs = Double.POSITIVE_INFINITY;
            }
            learnPrimary(sender, reply, nowMs);
        });
    }

    private static boolean isRecent(int ageMs) {
        return ageMs != ConfigurationFreshness.NEVER && ageMs <= RECENT_AGE_MS;
    }

    /**
     * A router follows the hint of a controller, which withdraws its own soon after the primary is lost. The hint of
     * another router counts only while this one knows no primary. A primary that was not known before is asked at once.
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
                ask(reply.primary(), nowMs);
            }
        }
    }

    /** The primary that this process knows, by its internal address; a controller learns it from replication. */
    void setKnownPrimary(Optional<SocketAddress> internalAddress) {
        knownPrimary = internalAddress;
    }

    /** The primary that this process knows, by its internal address; any thread. */
    Optional<SocketAddress> knownPrimary() {
        return knownPrimary;
    }
}
