package pinewick.control;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;
import pinewick.model.ConfigurationChecks;
import pinewick.model.SocketAddress;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;
import pinewick.replication.ReadOutcome;
import pinewick.replication.ReplicatedConfiguration;

/**
 * The endpoints for operators: changing and reading the configuration. While no primary is known, as during an
 * election, a request is retried here for nearly as long as the operator waits for a response, because every
 * rejection would increase the backoff of the operator's client.
 *
 * <p>The body of a 503 gives its reason: no primary is known; there was no outcome in time; the reason of the
 * primary for a change with an unknown outcome ({@link ChangeOutcome.Unknown}) or for a read without a quorum
 * ({@link ReadOutcome.Unavailable}). {@link ApiExchange} adds two: the controller is shutting down, and there are
 * too many concurrent requests with large bodies. After any of them the operator may send the same request again.
 */
final class ConfigurationEndpoints {
    /**
     * How long a request is retried while no primary is known, milliseconds. The operator waits one second for a
     * response.
     */
    static final long PRIMARY_WAIT_MS = 700;

    /** Interval between the retries, milliseconds. */
    static final long RETRY_INTERVAL_MS = 50;

    private static final int MAX_VERSION_DIGITS = 18;

    private final ReplicatedConfiguration configuration;
    private final TaskLoop loop;
    private final SocketAddress self;
    private final long timeoutMs;

    /**
     * @param configuration the replicated configuration; called on the control loop only
     * @param self address of the operator API of this process
     * @param timeoutMs a request without an outcome is answered with 503 after this time, milliseconds
     */
    ConfigurationEndpoints(ReplicatedConfiguration configuration, TaskLoop loop, SocketAddress self, long timeoutMs) {
        this.configuration = configuration;
        this.loop = loop;
        this.self = self;
        this.timeoutMs = timeoutMs;
    }

    /** {@code POST /config/replace}. */
    void replace(ApiRequest request, Consumer<ApiResponse> responder) {
        change(ConfigurationChange.Kind.REPLACE, request, responder);
    }

    /** {@code POST /config/update}. */
    void update(ApiRequest request, Consumer<ApiResponse> responder) {
        change(ConfigurationChange.Kind.UPDATE, request, responder);
    }

    /** {@code GET /config/read}. */
    void read(ApiRequest request, Consumer<ApiResponse> responder) {
        runWithTimeout(responder, respondOnce -> read(request, loop.nowMs() + PRIMARY_WAIT_MS, respondOnce));
    }

    private void change(ConfigurationChange.Kind kind, ApiRequest request, Consumer<ApiResponse> responder) {
        Optional<Long> baseVersion = request.baseVersion().flatMap(ConfigurationEndpoints::parseVersion);
        if (baseVersion.isEmpty()) {
            responder.accept(ApiResponse.badField("X-Pinewick-Base-Version", "is missing or is not a version number"));
            return;
        }
        ConfigurationChange change = new ConfigurationChange(kind, baseVersion.get(), request.body());
        runWithTimeout(responder, respondOnce -> submit(change, request, loop.nowMs() + PRIMARY_WAIT_MS, respondOnce));
    }

    private void submit(
            ConfigurationChange change, ApiRequest request, double retryUntilMs, Consumer<ApiResponse> responder) {
        configuration.advanceClock(loop.nowMs());
        configuration.submit(change, outcome -> {
            boolean hasNoPrimary =
                    outcome instanceof ChangeOutcome.NotPrimary notPrimary && !isElsewhere(notPrimary.primary());
            if (hasNoPrimary && loop.nowMs() < retryUntilMs) {
                loop.schedule(() -> submit(change, request, retryUntilMs, responder), RETRY_INTERVAL_MS);
            } else {
                responder.accept(toResponse(outcome, request));
            }
        });
    }

    private void read(ApiRequest request, double retryUntilMs, Consumer<ApiResponse> responder) {
        configuration.advanceClock(loop.nowMs());
        configuration.read(outcome -> {
            boolean hasNoPrimary =
                    outcome instanceof ReadOutcome.NotPrimary notPrimary && !isElsewhere(notPrimary.primary());
            if (hasNoPrimary && loop.nowMs() < retryUntilMs) {
                loop.schedule(() -> read(request, retryUntilMs, responder), RETRY_INTERVAL_MS);
            } else {
                responder.accept(toResponse(outcome, request));
            }
        });
    }

    /**
     * Whether another process is the known primary. If this process is named as primary after it has rejected a
     * request, it has just stepped down, or its epoch is not established yet.
     */
    private boolean isElsewhere(Optional<SocketAddress> primary) {
        return primary.isPresent() && !primary.get().equals(self);
    }

    private static Optional<Long> parseVersion(String text) {
        String digits = text.trim();
        boolean isValid = !digits.isEmpty()
                && digits.length() <= MAX_VERSION_DIGITS
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        return isValid ? Optional.of(Long.parseLong(digits)) : Optional.empty();
    }

    /** Runs a request on the control loop; if there is no outcome within the time-out, it is answered with 503. */
    private void runWithTimeout(Consumer<ApiResponse> responder, Consumer<Consumer<ApiResponse>> task) {
        LoopDispatcher.dispatch(loop, responder, () -> {
            AtomicBoolean answered = new AtomicBoolean();
            Consumer<ApiResponse> respondOnce = response -> {
                if (answered.compareAndSet(false, true)) {
                    responder.accept(response);
                }
            };
            task.accept(respondOnce);
            if (!answered.get()) {
                loop.schedule(() -> respondOnce.accept(ApiResponse.unavailable("no outcome in time")), timeoutMs);
            }
        });
    }

    private ApiResponse toResponse(ChangeOutcome outcome, ApiRequest request) {
        if (outcome instanceof ChangeOutcome.Accepted) {
            return ApiResponse.ok();
        }
        if (outcome instanceof ChangeOutcome.VersionConflict conflict) {
            return ApiResponse.error(
                    HttpStatus.PRECONDITION_FAILED_412, "the current version is " + conflict.currentVersion());
        }
        if (outcome instanceof ChangeOutcome.Invalid invalid) {
            return ApiResponse.invalid(invalid.faults());
        }
        if (outcome instanceof ChangeOutcome.NotPrimary notPrimary) {
            return redirectToPrimary(notPrimary.primary(), request);
        }
        return ApiResponse.unavailable(((ChangeOutcome.Unknown) outcome).reason());
    }

    private ApiResponse toResponse(ReadOutcome outcome, ApiRequest request) {
        if (outcome instanceof ReadOutcome.Current current) {
            return ApiResponse.ok(ConfigurationChecks.toJson(current.document()));
        }
        if (outcome instanceof ReadOutcome.NotPrimary notPrimary) {
            return redirectToPrimary(notPrimary.primary(), request);
        }
        return ApiResponse.unavailable(((ReadOutcome.Unavailable) outcome).reason());
    }

    private ApiResponse redirectToPrimary(Optional<SocketAddress> primary, ApiRequest request) {
        return isElsewhere(primary)
                ? ApiResponse.redirect(primary.get(), request.path())
                : ApiResponse.unavailable("no primary is known");
    }
}
