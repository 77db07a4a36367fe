package pinewick.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.QuotaLimit;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaMessages.QuotaVerdict;
import pinewick.quota.QuotaMessages.RelayedQuotaRequest;

/**
 * Enforces tenants' limits at a router: requests tokens from the coordinator for each client request, and resends
 * requests that were not answered. If no request is answered for {@link #SUSPECT_AFTER_MS}, the coordinator is
 * <em>suspected</em>. While it is, only the oldest pending request is sent, as a probe: to the known primary, to a
 * random controller, and through another router, because this router may be partitioned from the controllers only.
 * Requests that fit into the {@link FallbackAllowance} are granted from it; the others stay pending until they are
 * decided or their callers cancel them.
 *
 * <p>Not thread-safe: to be used by one thread at a time.
 */
public final class QuotaClient {
    /** Interval after which an unanswered request is resent, milliseconds. */
    static final double RESEND_AFTER_MS = 50;

    /** Time without any answer after which the coordinator is suspected, milliseconds. */
    static final double SUSPECT_AFTER_MS = 120;

    private static final double PROBE_INTERVAL_MS = 80;

    /** Minimum interval between redirects, milliseconds; limits the loop between controllers that name each other. */
    private static final double REDIRECT_INTERVAL_MS = 20;

    /** While requests are relayed, the interval at which one is also sent directly, milliseconds. */
    private static final double DIRECT_PROBE_INTERVAL_MS = 2_000;

    private final QuotaPeers peers;
    private final Outbox outbox;
    private final FallbackAllowance fallback;
    private final RandomGenerator random;
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private final RequestRelay relay = new RequestRelay();
    private Optional<SocketAddress> coordinator = Optional.empty();
    private Optional<SocketAddress> relayRouter = Optional.empty();
    private double nextDirectProbeMs = Double.POSITIVE_INFINITY;
    /** When the first request since the last answer was sent, infinite for none; it may have been cancelled since. */
    private double unansweredSinceMs = Double.POSITIVE_INFINITY;

    private double lastProbeMs = Double.NEGATIVE_INFINITY;
    private double lastRedirectMs = Double.NEGATIVE_INFINITY;
    private boolean suspected;
    private long lastId;

    /** A request without a decision yet. */
    private final class PendingRequest implements PendingGrant {
        private final QuotaRequest request;
        private final QuotaLimit limit;
        private final Consumer<QuotaDecision> callback;
        private double lastSentMs;

        PendingRequest(QuotaRequest request, QuotaLimit limit, Consumer<QuotaDecision> callback, double nowMs) {
            this.request = request;
            this.limit = limit;
            this.callback = callback;
            this.lastSentMs = nowMs;
        }

        @Override
        public void cancel() {
            pending.remove(request.requestId());
        }

        @Override
        public boolean tryFallbackAllowance(double nowMs) {
            return fallback.tryUse(request.tenant(), limit, request.cost(), nowMs);
        }

        void complete(QuotaDecision decision) {
            cancel();
            callback.accept(decision);
        }
    }

    /**
     * @param peers the processes that tokens are requested from
     * @param outbox sends messages to them
     * @param fallback what this router may grant itself while the coordinator is suspected
     * @param random chooses peers, and the first request id, so that a reply to an earlier incarnation matches no
     *     request
     */
    public QuotaClient(QuotaPeers peers, Outbox outbox, FallbackAllowance fallback, RandomGenerator random) {
        this.peers = peers;
        this.outbox = outbox;
        this.fallback = fallback;
        this.random = random;
        this.lastId = random.nextLong();
    }

    /**
     * Requests tokens. The callback runs at most once, within this call or later, and never after
     * {@link PendingGrant#cancel}.
     *
     * @param cost cost of the client request, in the unit of the limit
     * @return the handle of the request; already decided if the callback ran within this call
     */
    public PendingGrant request(
            String tenant, QuotaLimit limit, int cost, Consumer<QuotaDecision> callback, double nowMs) {
        QuotaRequest request = new QuotaRequest(++lastId, tenant, cost);
        PendingRequest pendingRequest = new PendingRequest(request, limit, callback, nowMs);
        suspectIfUnanswered(nowMs);
        if (suspected && pendingRequest.tryFallbackAllowance(nowMs)) {
            callback.accept(new QuotaDecision.Granted());
            return pendingRequest;
        }
        pending.put(lastId, pendingRequest);
        if (suspected) {
            probeIfDue(nowMs);
        } else {
            send(request, nowMs);
        }
        return pendingRequest;
    }

    /** Whether requests are pending, so that {@link #onTick} has to be called. */
    public boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    /** Whether the coordinator has not answered for {@link #SUSPECT_AFTER_MS}. */
    public boolean isCoordinatorSuspected() {
        return suspected;
    }

    /** Resends unanswered requests and probes; to be called about every 20 ms while requests are pending. */
    public void onTick(double nowMs) {
        if (pending.isEmpty()) {
            return;
        }
        suspectIfUnanswered(nowMs);
        if (suspected) {
            probeIfDue(nowMs);
            return;
        }
        for (PendingRequest each : List.copyOf(pending.values())) {
            if (nowMs - each.lastSentMs >= RESEND_AFTER_MS) {
                each.lastSentMs = nowMs;
                send(each.request, nowMs);
            }
        }
    }

    private PendingRequest oldest() {
        return pending.values().iterator().next();
    }

    private void suspectIfUnanswered(double nowMs) {
        if (!suspected && nowMs - unansweredSinceMs >= SUSPECT_AFTER_MS) {
            suspected = true;
            relayRouter = Optional.empty();
            grantPendingFromFallback(nowMs);
        }
    }

    private void grantPendingFromFallback(double nowMs) {
        for (PendingRequest each : List.copyOf(pending.values())) {
            if (pending.containsKey(each.request.requestId()) && each.tryFallbackAllowance(nowMs)) {
                each.complete(new QuotaDecision.Granted());
            }
        }
    }

    /** Sends by the route that was answered last: through the relaying router, or directly. */
    private void send(QuotaRequest request, double nowMs) {
        unansweredSinceMs = Math.min(unansweredSinceMs, nowMs);
        if (relayRouter.isPresent()) {
            outbox.send(relayRouter.get(), new RelayedQuotaRequest(request));
            if (nowMs < nextDirectProbeMs) {
                return;
            }
            nextDirectProbeMs = nowMs + DIRECT_PROBE_INTERVAL_MS;
        }
        Optional<SocketAddress> target = target(nowMs);
        if (target.isPresent()) {
            outbox.send(target.get(), request);
        } else {
            chooseRandom(peers.controllers()).ifPresent(controller -> outbox.send(controller, request));
        }
    }

    /** The coordinator, or once it does not answer, the primary that this router knows. */
    private Optional<SocketAddress> target(double nowMs) {
        boolean isUnanswered = nowMs - unansweredSinceMs >= RESEND_AFTER_MS;
        return isUnanswered ? peers.primary().or(() -> coordinator) : coordinator.or(peers::primary);
    }

    private void probeIfDue(double nowMs) {
        if (pending.isEmpty() || nowMs - lastProbeMs < PROBE_INTERVAL_MS) {
            return;
        }
        lastProbeMs = nowMs;
        QuotaRequest probe = oldest().request;
        Optional<SocketAddress> knownTarget = target(nowMs);
        knownTarget.ifPresent(target -> outbox.send(target, probe));
        chooseRandom(peers.controllers())
                .filter(controller -> !knownTarget.equals(Optional.of(controller)))
                .ifPresent(controller -> outbox.send(controller, probe));
        chooseRandom(peers.routers()).ifPresent(router -> outbox.send(router, new RelayedQuotaRequest(probe)));
    }

    private Optional<SocketAddress> chooseRandom(List<SocketAddress> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Handles a message if it is a {@link QuotaReply} or {@link RelayedQuotaRequest}; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        if (message instanceof QuotaReply reply) {
            onReply(sender, reply, nowMs);
        } else if (message instanceof RelayedQuotaRequest relayed) {
            onRelayedRequest(sender, relayed.request());
        } else {
            return false;
        }
        return true;
    }

    /** Forwards the request of a router that reaches no coordinator: directly, never through a third router. */
    private void onRelayedRequest(SocketAddress sender, QuotaRequest request) {
        coordinator.or(peers::primary).ifPresent(target -> {
            long ownId = ++lastId;
            relay.add(ownId, sender, request.requestId());
            outbox.send(target, new QuotaRequest(ownId, request.tenant(), request.cost()));
        });
    }

    private void onReply(SocketAddress sender, QuotaReply reply, double nowMs) {
        if (reply.verdict() == QuotaVerdict.NOT_COORDINATOR) {
            onNotCoordinator(sender, reply, nowMs);
            return;
        }
        Optional<RequestRelay.ReturnedReply> returned = relay.complete(reply);
        if (returned.isPresent()) {
            coordinator = Optional.of(sender);
            outbox.send(returned.get().receiver(), returned.get().reply());
            return;
        }
        PendingRequest answered = pending.get(reply.requestId());
        if (answered == null) {
            return;
        }
        onCoordinatorAnswered(sender, reply, nowMs);
        answered.complete(toDecision(reply));
    }

    private static QuotaDecision toDecision(QuotaReply reply) {
        return switch (reply.verdict()) {
            case GRANTED -> new QuotaDecision.Granted();
            case OVER_LIMIT -> new QuotaDecision.OverLimit(reply.retryAfterMs());
            default -> new QuotaDecision.UnknownTenant();
        };
    }

    private void onCoordinatorAnswered(SocketAddress sender, QuotaReply reply, double nowMs) {
        unansweredSinceMs = Double.POSITIVE_INFINITY;
        boolean isDirect = reply.coordinator() == null || sender.equals(reply.coordinator());
        if (isDirect) {
            coordinator = Optional.of(sender);
            relayRouter = Optional.empty();
        } else if (relayRouter.isEmpty()) {
            coordinator = Optional.of(reply.coordinator());
            relayRouter = Optional.of(sender);
            nextDirectProbeMs = nowMs + DIRECT_PROBE_INTERVAL_MS;
        }
        if (suspected) {
            suspected = false;
            sendAllExcept(reply.requestId(), nowMs);
        }
    }

    private void sendAllExcept(long excludedId, double nowMs) {
        for (PendingRequest each : new ArrayList<>(pending.values())) {
            if (each.request.requestId() != excludedId) {
                each.lastSentMs = nowMs;
                send(each.request, nowMs);
            }
        }
    }

    /** The sender is not the coordinator, or not yet: retries at the coordinator that it names. */
    private void onNotCoordinator(SocketAddress sender, QuotaReply reply, double nowMs) {
        SocketAddress namedCoordinator = reply.coordinator();
        if (coordinator.equals(Optional.of(sender))) {
            coordinator = Optional.empty();
        }
        boolean isNewCoordinator = namedCoordinator != null
                && !namedCoordinator.equals(sender)
                && !coordinator.equals(Optional.of(namedCoordinator));
        if (isNewCoordinator) {
            coordinator = Optional.of(namedCoordinator);
            PendingRequest redirected = pending.get(reply.requestId());
            if (redirected != null && nowMs - lastRedirectMs >= REDIRECT_INTERVAL_MS) {
                lastRedirectMs = nowMs;
                outbox.send(namedCoordinator, redirected.request);
            }
        }
    }
}
