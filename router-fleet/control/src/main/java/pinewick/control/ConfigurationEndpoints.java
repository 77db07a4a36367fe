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
 * The requests of the operator: changes of the configuration, and reading it. While no primary is known, as during an
 * election, a request is retried here for as long as the operator waits for a response, since each rejection would
 * lengthen the operator's backoff.
 *
 * <p>The body of a 503 gives its reason: no primary is known; no outcome in time; what the primary said of a change
 * whose outcome is unknown ({@link ChangeOutcome.Unknown}) or of a read without a quorum ({@link
 * ReadOutcome.Unavailable}). {@link ApiExchange} adds two of its own: the controller is shutting down, and too many
 * requests with large bodies at once. After each of them the operator may send the same request again.
 */
final class ConfigurationEndpoints {
    /** How long a request is retried while no primary is known, milliseconds; the operator waits for one second. */
    static final long PRIMARY_WAIT_MS = 700;

    /** How often it is retried meanwhile, milliseconds. */
    static final long RETRY_INTERVAL_MS = 50;

    private static final int MAX_VERSION_DIGITS = 18;

    private final ReplicatedConfiguration configuration;
    private final TaskLoop loop;
    private final SocketAddress self;
    private final long deadlineMs;

    /**
     * @param configuration the replicated configuration, called on the loop
     * @param self the operator API of this process
     * @param deadlineMs a request without an outcome is answered 503 after this long, milliseconds
     */
    ConfigurationEndpoints(ReplicatedConfiguration configuration, TaskLoop loop, SocketAddress self, long deadlineMs) {
        this.configuration = configuration;
        this.loop = loop;
        this.self = self;
        this.deadlineMs = deadlineMs;
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
        runWithDeadline(responder, once -> read(request, loop.nowMs() + PRIMARY_WAIT_MS, once));
    }

    private void change(ConfigurationChange.Kind kind, ApiRequest request, Consumer<ApiResponse> responder) {
        Optional<Long> baseVersion = request.baseVersion().flatMap(ConfigurationEndpoints::parseVersion);
        if (baseVersion.isEmpty()) {
            responder.accept(ApiResponse.badField("X-Pinewick-Base-Version", "is missing or is not a version number"));
            return;
        }
        ConfigurationChange change = new ConfigurationChange(kind, baseVersion.get(), request.body());
        runWithDeadline(responder, once -> submit(change, request, loop.nowMs() + PRIMARY_WAIT_MS, once));
    }

    private void submit(
            ConfigurationChange change, ApiRequest request, double waitUntilMs, Consumer<ApiResponse> responder) {
        configuration.advanceClock(loop.nowMs());
        configuration.submit(change, outcome -> {
            boolean hasNoPrimary =
                    outcome instanceof ChangeOutcome.NotPrimary notPrimary && !isElsewhere(notPrimary.primary());
            if (hasNoPrimary && loop.nowMs() < waitUntilMs) {
                loop.schedule(() -> submit(change, request, waitUntilMs, responder), RETRY_INTERVAL_MS);
            } else {
                responder.accept(toResponse(outcome, request));
            }
        });
    }

    private void read(ApiRequest request, double waitUntilMs, Consumer<ApiResponse> responder) {
        configuration.advanceClock(loop.nowMs());
        configuration.read(outcome -> {
            boolean hasNoPrimary =
                    outcome instanceof ReadOutcome.NotPrimary notPrimary && !isElsewhere(notPrimary.primary());
            if (hasNoPrimary && loop.nowMs() < waitUntilMs) {
                loop.schedule(() -> read(request, waitUntilMs, responder), RETRY_INTERVAL_MS);
            } else {
                responder.accept(toResponse(outcome, request));
            }
        });
    }

    /** If this process itself is named as primary, it has just stepped down, or its epoch is not established yet. */
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

    /** Runs a request on the loop; without an outcome before the deadline it is answered 503. */
    private void runWithDeadline(Consumer<ApiResponse> responder, Consumer<Consumer<ApiResponse>> task) {
        LoopDispatcher.dispatch(loop, responder, () -> {
            AtomicBoolean answered = new AtomicBoolean();
            Consumer<ApiResponse> once = first -> {
                if (answered.compareAndSet(false, true)) {
                    responder.accept(first);
                }
            };
            task.accept(once);
            if (!answered.get()) {
                loop.schedule(() -> once.accept(ApiResponse.unavailable("no outcome in time")), deadlineMs);
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
