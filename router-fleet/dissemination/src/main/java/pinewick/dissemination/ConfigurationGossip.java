package pinewick.dissemination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages.ConfigurationPull;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.membership.OutstandingRequests;
import pinewick.membership.PeerSampling;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/**
 * Epidemic push of the configuration: a process that receives a new version pushes it to a few peers at once and
 * announces it to a few more in each of the next ticks. A push carries the difference from the previous version if that
 * is small, else only the version number; a process that lacks the base pulls a difference from its own version.
 * Control loop only.
 */
final class ConfigurationGossip {
    /** The longest body that is pushed, bytes; longer ones are pulled. */
    static final int MAX_PUSHED_BYTES = 1_000;

    /** A full document of more items is not pushed; it is not even encoded to see its length. */
    private static final int MAX_PUSHED_ITEMS = 100;

    private static final double BASE_PULL_TIMEOUT_MS = 250;
    /**
     * This many pulls are retried after the base time-out: a datagram was lost. Later ones back off exponentially: the
     * body may be large.
     */
    private static final int PULLS_WITHOUT_BACKOFF = 3;

    private static final int MAX_DOUBLINGS = 3;
    private static final int MAX_SOURCES = 16;
    /** A large body over a slow link takes long; a reply that is later than this is ignored. */
    private static final double MAX_REPLY_AGE_MS = 10_000;

    private static final int MAX_OUTSTANDING = 32;
    private static final byte[] NO_BODY = {};

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final Map<SocketAddress, Long> sources = new LinkedHashMap<>();
    /** Pulls without a reply, with the versions that they named. */
    private final OutstandingRequests<Long> requests;

    private int repeatsLeft;
    private int pullAttempts;
    private double lastPullMs;
    private SocketAddress lastSource;

    ConfigurationGossip(FleetState state, PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
        this.random = random;
        this.requests = new OutstandingRequests<>(MAX_REPLY_AGE_MS, MAX_OUTSTANDING, random);
        if (version() > 0) {
            history.add(state.configuration());
        }
    }

    private long version() {
        return state.configuration().version();
    }

    /** A newer configuration is in force here, from whatever source. */
    void onConfigurationChanged(ConfigurationDocument document) {
        history.add(document);
    }

    /** This process is the origin of a new configuration: pushes it to all controllers and some peers. */
    void publish() {
        if (version() == 0) {
            return;
        }
        Set<SocketAddress> targets = new LinkedHashSet<>(peers.controllers());
        targets.addAll(peers.randomPeers(Fanout.ORIGIN_PEERS));
        ConfigurationUpdate push = pushFrom(history.previousVersion());
        targets.forEach(target -> outbox.send(target, push));
        repeatsLeft = Fanout.repeats(peers.viewSize());
    }

    private ConfigurationUpdate pushFrom(long base) {
        if (history.requiresFullDocument(base) && history.newestItemCount() > MAX_PUSHED_ITEMS) {
            return header();
        }
        ConfigurationUpdate update = history.updateFrom(base);
        return update.body().length <= MAX_PUSHED_BYTES ? update : header();
    }

    private ConfigurationUpdate header() {
        return new ConfigurationUpdate(OutstandingRequests.NO_REQUEST, 0, version(), NO_BODY);
    }

    void onTick(double nowMs) {
        if (repeatsLeft > 0) {
            repeatsLeft--;
            ConfigurationUpdate header = header();
            peers.randomPeers(Fanout.RELAY_PEERS).forEach(peer -> outbox.send(peer, header));
        }
        if (!sources.isEmpty() && nowMs - lastPullMs >= pullTimeoutMs()) {
            pull(nowMs);
        }
    }

    /** When {@link #onTick} has work next; in the past if it has work now. */
    double nextDueMs() {
        if (repeatsLeft > 0) {
            return Double.NEGATIVE_INFINITY;
        }
        return sources.isEmpty() ? Double.POSITIVE_INFINITY : lastPullMs + pullTimeoutMs();
    }

    private double pullTimeoutMs() {
        int doublings = Math.min(Math.max(pullAttempts - PULLS_WITHOUT_BACKOFF, 0), MAX_DOUBLINGS);
        return BASE_PULL_TIMEOUT_MS * (1 << doublings);
    }

    /** A peer has reported its version. */
    void onPeerVersion(SocketAddress peer, long version, double nowMs) {
        if (version < version()) {
            outbox.send(peer, pushFrom(version));
        } else if (version > version()) {
            sources.put(peer, version);
            if (sources.size() > MAX_SOURCES) {
                sources.remove(sources.keySet().iterator().next());
            }
            if (sources.size() == 1) {
                pullAttempts = 0;
                pull(nowMs);
            }
        }
    }

    private void pull(double nowMs) {
        List<SocketAddress> candidates = new ArrayList<>(sources.keySet());
        if (candidates.size() > 1) {
            candidates.remove(lastSource);
        }
        lastSource = candidates.get(random.nextInt(candidates.size()));
        lastPullMs = nowMs;
        pullAttempts++;
        outbox.send(lastSource, new ConfigurationPull(requests.register(lastSource, version(), nowMs), version()));
    }

    void onPull(SocketAddress sender, ConfigurationPull pull) {
        if (version() > pull.knownVersion()) {
            outbox.send(sender, history.updateFrom(pull.knownVersion()).withRequestId(pull.requestId()));
        }
    }

    void onUpdate(SocketAddress sender, ConfigurationUpdate update, double nowMs) {
        boolean isReply = update.inReplyTo() != OutstandingRequests.NO_REQUEST;
        boolean isUnmatched =
                isReply && requests.complete(update.inReplyTo(), sender, nowMs).isEmpty();
        if (isUnmatched || update.version() <= version()) {
            return;
        }
        boolean applies = update.baseVersion() == 0 || update.baseVersion() == version();
        if (update.body().length == 0 || !applies || !apply(update)) {
            onPeerVersion(sender, update.version(), nowMs);
            return;
        }
        history.cacheUpdate(update);
        sources.values().removeIf(peerVersion -> peerVersion <= version());
        pullAttempts = 0;
        peers.randomPeers(Fanout.RELAY_PEERS).forEach(peer -> outbox.send(peer, pushFrom(update.baseVersion())));
        repeatsLeft = Fanout.repeats(peers.viewSize());
    }

    private boolean apply(ConfigurationUpdate update) {
        try {
            return state.offer(ConfigurationHistory.apply(update, state.configuration()));
        } catch (RuntimeException e) {
            // Boundary to peers: an update whose bytes cannot be applied is requested again, whatever the decoder
            // throws.
            return false;
        }
    }
}
