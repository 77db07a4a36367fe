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
 * A router's side of the limits: requests tokens from the coordinator for each client request, and sends a request
 * again that was not answered. A coordinator that answers nothing for {@link #SUSPECT_AFTER_MS}, to whichever requests,
 * is <em>suspected</em>: from then on the oldest request alone probes for one, at the primary that is known, at a
 * controller and through another router, since this router may be partitioned from the controllers only. Meanwhile
 * requests are let through by the {@link FallbackAllowance} as far as it goes; the others wait, for as long as their
 * owners let them.
 *
 * <p>Used by one thread at a time.
 */
public final class QuotaClient {
    /** A request without an answer is sent again after this time, milliseconds. */
    static final double RESEND_AFTER_MS = 50;

    /** Without any answer for this long the coordinator is suspected, milliseconds. */
    static final double SUSPECT_AFTER_MS = 120;

    private static final double PROBE_INTERVAL_MS = 80;

    /** Controllers that name each other as the coordinator are not followed more often than this, milliseconds. */
    private static final double REDIRECT_INTERVAL_MS = 20;

    /** While requests go through another router, one of them is sent directly as well this often, milliseconds. */
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
    /** When the first request was sent that no answer has followed; it may have been cancelled since. */
    private double unansweredSinceMs = Double.POSITIVE_INFINITY;

    private double lastProbeMs = Double.NEGATIVE_INFINITY;
    private double lastRedirectMs = Double.NEGATIVE_INFINITY;
    private boolean suspected;
    private long lastId;

    /** A request that waits for its decision. */
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
     * @param fallback what may be let through without a coordinator
     * @param random draws the first id, so that those of an earlier incarnation match nothing, and peers
     */
    public QuotaClient(QuotaPeers peers, Outbox outbox, FallbackAllowance fallback, RandomGenerator random) {
        this.peers = peers;
        this.outbox = outbox;
        this.fallback = fallback;
        this.random = random;
        this.lastId = random.nextLong();
    }

    /**
     * Requests tokens. The callback runs once, within this call or later; never after {@link PendingGrant#cancel}.
     *
     * @param cost what the client request counts, in the unit of the limit
     */
    public PendingGrant request(
            String tenant, QuotaLimit limit, int cost, Consumer<QuotaDecision> callback, double nowMs) {
        QuotaRequest request = new QuotaRequest(++lastId, tenant, cost);
        PendingRequest added = new PendingRequest(request, limit, callback, nowMs);
        suspectIfSilent(nowMs);
        if (suspected && added.tryFallbackAllowance(nowMs)) {
            callback.accept(new QuotaDecision.Granted());
            return added;
        }
        pending.put(lastId, added);
        if (suspected) {
            probeIfDue(nowMs);
        } else {
            send(request, nowMs);
        }
        return added;
    }

    /** Whether {@link #onTick} has to be called. */
    public boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    /** Whether no coordinator answers. */
    public boolean isCoordinatorSuspected() {
        return suspected;
    }

    /** Time has passed; to be called every 20 ms or so while requests are pending. */
    public void onTick(double nowMs) {
        if (pending.isEmpty()) {
            return;
        }
        suspectIfSilent(nowMs);
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

    private void suspectIfSilent(double nowMs) {
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

    /** Sends on the way that worked last. */
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
            choose(peers.controllers()).ifPresent(controller -> outbox.send(controller, request));
        }
    }

    /** The coordinator; once it is silent, the primary that this router knows. */
    private Optional<SocketAddress> target(double nowMs) {
        boolean isSilent = nowMs - unansweredSinceMs >= RESEND_AFTER_MS;
        return isSilent ? peers.primary().or(() -> coordinator) : coordinator.or(peers::primary);
    }

    private void probeIfDue(double nowMs) {
        if (pending.isEmpty() || nowMs - lastProbeMs < PROBE_INTERVAL_MS) {
            return;
        }
        lastProbeMs = nowMs;
        QuotaRequest probe = oldest().request;
        Optional<SocketAddress> believed = target(nowMs);
        believed.ifPresent(target -> outbox.send(target, probe));
        choose(peers.controllers())
                .filter(controller -> !believed.equals(Optional.of(controller)))
                .ifPresent(controller -> outbox.send(controller, probe));
        choose(peers.routers()).ifPresent(router -> outbox.send(router, new RelayedQuotaRequest(probe)));
    }

    private Optional<SocketAddress> choose(List<SocketAddress> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Handles a message if it is one of the limits; returns whether it was. */
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

    /** Another router reaches no coordinator. Its request is sent on directly, never through a third router. */
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

    private void sendAllExcept(long answeredId, double nowMs) {
        for (PendingRequest each : new ArrayList<>(pending.values())) {
            if (each.request.requestId() != answeredId) {
                each.lastSentMs = nowMs;
                send(each.request, nowMs);
            }
        }
    }

    /** The sender is not the coordinator, or not yet; the one that it names is asked next. */
    private void onNotCoordinator(SocketAddress sender, QuotaReply reply, double nowMs) {
        SocketAddress named = reply.coordinator();
        if (coordinator.equals(Optional.of(sender))) {
            coordinator = Optional.empty();
        }
        boolean isNews = named != null && !named.equals(sender) && !coordinator.equals(Optional.of(named));
        if (isNews) {
            coordinator = Optional.of(named);
            PendingRequest waiting = pending.get(reply.requestId());
            if (waiting != null && nowMs - lastRedirectMs >= REDIRECT_INTERVAL_MS) {
                lastRedirectMs = nowMs;
                outbox.send(named, waiting.request);
            }
        }
    }
}
