package pinewick.selection;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import pinewick.model.ReplicaRecord;

/**
 * Admits or rejects a request before any of it is sent to a replica. A request is rejected only if its service is busy
 * and is not expected to complete it before the client's deadline:
 *
 * <ul>
 *   <li>The expected service time is the mean of the route rather than that of the request's own size, so that long
 *       requests are admitted as often as short ones.
 *   <li>Lower priorities are rejected first.
 *   <li>A retry after a rejection is rejected again only if it would miss its deadline even without queueing.
 * </ul>
 *
 * <p>Rejecting more than this lowered the score in every overload of the simulated fleet: clients retry once, so that a
 * rejection only moves the load, and a late response still counts half.
 */
public final class AdmissionControl {
    /** Each priority level below the highest reduces the time that a request is allowed to take by this fraction. */
    private static final double PRIORITY_STEP_FRACTION = 0.1;

    private static final int MAX_PRIORITY_STEPS = 4;
    /**
     * A request whose time to its deadline is shorter than the longest on its route by more than this counts as a
     * retry.
     */
    private static final double RETRY_DETECTION_MS = 30;
    /** {@code Retry-After} is at most this fraction of the time left to the deadline. */
    private static final double MAX_RETRY_AFTER_FRACTION = 1 / 3.0;

    private static final double MIN_RETRY_AFTER_MS = 100;
    private static final double RETRY_AFTER_JITTER = 0.5;
    private static final double SERVICE_SMOOTHING = 0.05;
    private static final double MS_PER_SECOND = 1_000;

    private final ReplicaSelector selector;
    private final RandomGenerator random;
    private final Map<String, RouteState> routes = new HashMap<>();

    /** Measurements of the requests of one route, milliseconds. */
    private static final class RouteState {
        private double maxTimeMs;
        private double meanServiceMs;

        void record(double timeMs, double serviceMs) {
            maxTimeMs = Math.max(maxTimeMs, timeMs);
            meanServiceMs += meanServiceMs == 0 ? serviceMs : SERVICE_SMOOTHING * (serviceMs - meanServiceMs);
        }
    }

    public AdmissionControl(ReplicaSelector selector, RandomGenerator random) {
        this.selector = selector;
        this.random = random;
    }

    /**
     * Decides whether to admit a request that has just been received completely.
     *
     * @param candidates replicas of the request's service that may be chosen
     */
    public AdmissionDecision decide(RequestShape request, Collection<ReplicaRecord> candidates, double nowMs) {
        ServiceLoad load = selector.load(request, candidates, nowMs);
        RouteState route = routes.computeIfAbsent(request.route().name(), name -> new RouteState());
        boolean isRetry = isRetry(request);
        route.record(request.deadlineAtMs() - request.arrivedAtMs(), load.serviceMs());
        double remainingMs = request.deadlineAtMs() - nowMs;
        double expectedMs = (isRetry ? 0 : load.queueingDelayMs()) + route.meanServiceMs;
        if (load.isBusy() && expectedMs > timeLimitMs(request, remainingMs)) {
            return new AdmissionDecision.Reject(retryAfterMs(load, remainingMs) / MS_PER_SECOND);
        }
        return AdmissionDecision.ADMIT;
    }

    /**
     * Whether this request is probably a retry after a rejection: it has less time to its deadline than other requests
     * of its route had.
     */
    public boolean isRetry(RequestShape request) {
        RouteState route = routes.get(request.route().name());
        double timeMs = request.deadlineAtMs() - request.arrivedAtMs();
        return route != null && timeMs < route.maxTimeMs - RETRY_DETECTION_MS;
    }

    private static double timeLimitMs(RequestShape request, double remainingMs) {
        int steps = Math.min(MAX_PRIORITY_STEPS, request.route().priority());
        return remainingMs * (1 - PRIORITY_STEP_FRACTION * steps);
    }

    /**
     * The value of {@code Retry-After}, milliseconds: the queueing delay, with jitter so that clients do not all retry
     * at the same time.
     */
    private double retryAfterMs(ServiceLoad load, double remainingMs) {
        double jitter = 1 + RETRY_AFTER_JITTER * (random.nextDouble() - 0.5);
        double delayMs = Math.max(MIN_RETRY_AFTER_MS, load.queueingDelayMs()) * jitter;
        return Math.max(0, Math.min(MAX_RETRY_AFTER_FRACTION * remainingMs, delayMs));
    }
}
