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
 * Spreads the configuration: a process to which a version is new pushes it to a few peers at once and tells a few more
 * in each of the next ticks. A push carries the difference from the version before if that is small, else
 * only the number; whoever
 * lacks the base asks for a difference from what it has.
 */
final class ConfigurationSpread {
    /** Longest body that is pushed unasked, bytes. */
    static final int MAX_PUSHED_BYTES = 1_000;

    /** A whole document of more items is not pushed: it is not even encoded to see its length. */
    private static final int MAX_PUSHED_ITEMS = 100;

    private static final double PULL_TIMEOUT_MS = 250;
    /**
     * So many pulls wait for the plain time-out: a datagram was lost. Later ones wait longer: the body may be
     * large.
     */
    private static final int QUICK_PULLS = 3;

    private static final int MOST_DOUBLINGS = 3;
    private static final int MAX_SOURCES = 16;
    /** A large body over a slow link takes long; what is late by more than this counts for nothing. */
    private static final double LATEST_ANSWER_MS = 10_000;

    private static final int MOST_OUTSTANDING = 32;
    private static final byte[] NO_BODY = {};

    private final FleetState state;
    private final PeerSampling peers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final Map<SocketAddress, Long> sources = new LinkedHashMap<>();
    /** Pulls without an answer, with the versions that they named. */
    private final OutstandingRequests<Long> requests;

    private int wavesLeft;
    private int pulls;
    private double pulledAtMs;
    private SocketAddress lastSource;

    ConfigurationSpread(FleetState state, PeerSampling peers, Outbox outbox, RandomGenerator random) {
        this.state = state;
        this.peers = peers;
        this.outbox = outbox;
        this.random = random;
        this.requests = new OutstandingRequests<>(LATEST_ANSWER_MS, MOST_OUTSTANDING, random);
        if (version() > 0) {
            history.add(state.configuration());
        }
    }

    private long version() {
        return state.configuration().version();
    }

    /** A newer configuration is in force here, from wherever. */
    void changed(ConfigurationDocument document) {
        history.add(document);
    }

    /** This process has a new configuration first: tells all controllers and a few peers. */
    void committed() {
        if (version() == 0) {
            return;
        }
        Set<SocketAddress> targets = new LinkedHashSet<>(peers.controllers());
        targets.addAll(peers.randomPeers(Fanout.ORIGIN));
        ConfigurationUpdate push = push(history.previousVersion());
        targets.forEach(target -> outbox.send(target, push));
        wavesLeft = Fanout.laterWaves(peers.viewSize());
    }

    private ConfigurationUpdate push(long base) {
        if (history.sendsWhole(base) && history.newestItems() > MAX_PUSHED_ITEMS) {
            return header();
        }
        ConfigurationUpdate update = history.updateFrom(base);
        return update.body().length <= MAX_PUSHED_BYTES ? update : header();
    }

    private ConfigurationUpdate header() {
        return new ConfigurationUpdate(OutstandingRequests.UNASKED, 0, version(), NO_BODY);
    }

    void onTick(double nowMs) {
        if (wavesLeft > 0) {
            wavesLeft--;
            ConfigurationUpdate header = header();
            peers.randomPeers(Fanout.RELAY).forEach(peer -> outbox.send(peer, header));
        }
        if (!sources.isEmpty() && nowMs - pulledAtMs >= pullTimeoutMs()) {
            pull(nowMs);
        }
    }

    /** When {@link #onTick} has something to do next; in the past if it has now. */
    double nextDueMs() {
        if (wavesLeft > 0) {
            return Double.NEGATIVE_INFINITY;
        }
        return sources.isEmpty() ? Double.POSITIVE_INFINITY : pulledAtMs + pullTimeoutMs();
    }

    private double pullTimeoutMs() {
        int doublings = Math.min(Math.max(pulls - QUICK_PULLS, 0), MOST_DOUBLINGS);
        return PULL_TIMEOUT_MS * (1 << doublings);
    }

    /** A peer has shown that it holds a version. */
    void shown(SocketAddress peer, long version, double nowMs) {
        if (version < version()) {
            outbox.send(peer, push(version));
        } else if (version > version()) {
            sources.put(peer, version);
            if (sources.size() > MAX_SOURCES) {
                sources.remove(sources.keySet().iterator().next());
            }
            if (sources.size() == 1) {
                pulls = 0;
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
        pulledAtMs = nowMs;
        pulls++;
        outbox.send(lastSource, new ConfigurationPull(requests.open(lastSource, version(), nowMs), version()));
    }

    void onPull(SocketAddress sender, ConfigurationPull pull) {
        if (version() > pull.haveVersion()) {
            outbox.send(sender, history.updateFrom(pull.haveVersion()).inAnswerTo(pull.requestId()));
        }
    }

    void onUpdate(SocketAddress sender, ConfigurationUpdate update, double nowMs) {
        boolean answer = update.answerTo() != OutstandingRequests.UNASKED;
        boolean unmatched =
                answer && requests.close(update.answerTo(), sender, nowMs).isEmpty();
        if (unmatched || update.version() <= version()) {
            return;
        }
        boolean applies = update.baseVersion() == 0 || update.baseVersion() == version();
        if (update.body().length == 0 || !applies || !take(update)) {
            shown(sender, update.version(), nowMs);
            return;
        }
        history.remember(update);
        sources.values().removeIf(shown -> shown <= version());
        pulls = 0;
        peers.randomPeers(Fanout.RELAY).forEach(peer -> outbox.send(peer, push(update.baseVersion())));
        wavesLeft = Fanout.laterWaves(peers.viewSize());
    }

    private boolean take(ConfigurationUpdate update) {
        try {
            return state.offer(ConfigurationHistory.apply(update, state.configuration()));
        } catch (RuntimeException e) {
            return false;
        }
    }
}
