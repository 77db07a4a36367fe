package pinewick.dataplane;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpStatus;
import pinewick.quota.PendingGrant;
import pinewick.quota.QuotaDecision;

/**
 * Admission of one request by its tenant's quota. Without a limit it is granted at once, otherwise the quota
 * coordinator decides. If no decision arrives in time, the router's fallback allowance is used. If that does not
 * suffice, the request is rejected with 503 (not executed), not with 429, because the tenant has not exceeded its
 * limit.
 */
final class QuotaAdmission {
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Minimum {@code Retry-After} of a request over the limit: the token bucket is nearly empty then, and other
     * requests wait for its tokens too.
     */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.15;

    /**
     * {@code Retry-After} without a decision of a coordinator; an election and the expiry of the previous lease take
     * about as long.
     */
    private static final double RECOVERY_RETRY_AFTER_SECONDS = 0.9;

    private static final double RETRY_AFTER_JITTER = 0.6;

    /**
     * Maximum number of quota requests for one client request. It asks again if its tokens become available within its
     * wait, since the bucket may be empty only briefly.
     */
    private static final int MAX_REQUESTS = 3;

    private final Optional<QuotaCharge> charge;
    private final TenantQuotas quotas;
    private final Timers timers;
    private final RandomGenerator random;
    private final double maxWaitMs;
    private Optional<PendingGrant> pending = Optional.empty();
    private Optional<Timers.Timer> timer = Optional.empty();
    private double waitsUntilMs;
    private int requestsLeft = MAX_REQUESTS;
    private boolean decided;

    /**
     * The response to a request that is not admitted.
     *
     * @param status 429 if over the limit, 503 without a decision
     * @param retryAfterSeconds time after which the client may retry
     */
    record Rejection(int status, double retryAfterSeconds) {}

    /**
     * @param charge the tokens or requests to be charged, empty without a limit
     * @param maxWaitMs how long to wait for a decision
     */
    QuotaAdmission(
            Optional<QuotaCharge> charge,
            TenantQuotas quotas,
            Timers timers,
            RandomGenerator random,
            double maxWaitMs) {
        this.charge = charge;
        this.quotas = quotas;
        this.timers = timers;
        this.random = random;
        this.maxWaitMs = maxWaitMs;
    }

    /** Admission without a limit. */
    static QuotaAdmission unlimited(Timers timers, RandomGenerator random) {
        return new QuotaAdmission(Optional.empty(), null, timers, random, 0);
    }

    /** Runs exactly one of the callbacks, during this call or later, unless cancelled first. */
    void begin(Runnable onGranted, Consumer<Rejection> onRejected) {
        if (charge.isEmpty()) {
            onGranted.run();
            return;
        }
        waitsUntilMs = timers.nowMs() + maxWaitMs;
        request(onGranted, onRejected);
    }

    private void request(Runnable onGranted, Consumer<Rejection> onRejected) {
        requestsLeft--;
        decided = false;
        PendingGrant requested = quotas.request(charge.get(), decision -> onDecision(decision, onGranted, onRejected));
        if (!decided) {
            pending = Optional.of(requested);
            double remainingMs = waitsUntilMs - timers.nowMs();
            timer = Optional.of(timers.schedule(remainingMs, () -> onTimeout(requested, onGranted, onRejected)));
        }
    }

    /** Cancels the admission because the request has ended for another reason. */
    void cancel() {
        pending.ifPresent(PendingGrant::cancel);
        timer.ifPresent(Timers.Timer::cancel);
    }

    private void onDecision(QuotaDecision decision, Runnable onGranted, Consumer<Rejection> onRejected) {
        decided = true;
        timer.ifPresent(Timers.Timer::cancel);
        if (decision instanceof QuotaDecision.Granted) {
            onGranted.run();
        } else if (decision instanceof QuotaDecision.OverLimit over && isWorthWaiting(over)) {
            timer = Optional.of(timers.schedule(over.retryAfterMs(), () -> request(onGranted, onRejected)));
        } else if (decision instanceof QuotaDecision.OverLimit over) {
            double seconds = Math.max(MIN_RETRY_AFTER_SECONDS, over.retryAfterMs() / MS_PER_SECOND);
            onRejected.accept(new Rejection(HttpStatus.TOO_MANY_REQUESTS_429, withJitter(seconds)));
        } else {
            onRejected.accept(rejectionWithoutDecision());
        }
    }

    private boolean isWorthWaiting(QuotaDecision.OverLimit over) {
        return requestsLeft > 0 && timers.nowMs() + over.retryAfterMs() < waitsUntilMs;
    }

    private void onTimeout(PendingGrant timedOut, Runnable onGranted, Consumer<Rejection> onRejected) {
        decided = true;
        timedOut.cancel();
        if (timedOut.tryFallbackAllowance(timers.nowMs())) {
            onGranted.run();
        } else {
            onRejected.accept(rejectionWithoutDecision());
        }
    }

    private Rejection rejectionWithoutDecision() {
        return new Rejection(HttpStatus.SERVICE_UNAVAILABLE_503, withJitter(RECOVERY_RETRY_AFTER_SECONDS));
    }

    /** Adds jitter, so that clients do not retry at the same time. */
    private double withJitter(double seconds) {
        return seconds * (1 + RETRY_AFTER_JITTER * random.nextDouble());
    }
}
