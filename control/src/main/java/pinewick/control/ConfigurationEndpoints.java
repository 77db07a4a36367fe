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
 * The calls of the operator: changes of the configuration, and reading it. While no primary is known, as during an
 * election, a call is kept for as long as the operator waits for an answer, since each refusal would lengthen its
 * pauses.
 */
final class ConfigurationEndpoints {
    /** How long a call is kept while no primary is known, milliseconds; the operator waits for one second. */
    static final long NO_PRIMARY_MS = 700;

    /** How often a primary is looked for meanwhile, milliseconds. */
    static final long RETRY_MS = 50;

    private static final int MOST_VERSION_DIGITS = 18;

    private final ReplicatedConfiguration configuration;
    private final TaskLoop loop;
    private final SocketAddress self;
    private final long deadlineMs;

    /**
     * @param configuration the replicated configuration, called on the loop
     * @param self the operator API of this process
     * @param deadlineMs after how long a call without an outcome is answered all the same
     */
    ConfigurationEndpoints(ReplicatedConfiguration configuration, TaskLoop loop, SocketAddress self, long deadlineMs) {
        this.configuration = configuration;
        this.loop = loop;
        this.self = self;
        this.deadlineMs = deadlineMs;
    }

    /** {@code POST /config/replace}. */
    void replace(ApiCall call, Consumer<ApiAnswer> answer) {
        change(ConfigurationChange.Kind.REPLACE, call, answer);
    }

    /** {@code POST /config/update}. */
    void update(ApiCall call, Consumer<ApiAnswer> answer) {
        change(ConfigurationChange.Kind.UPDATE, call, answer);
    }

    /** {@code GET /config/read}. */
    void read(ApiCall call, Consumer<ApiAnswer> answer) {
        answerInTime(answer, reply -> read(call, loop.nowMs() + NO_PRIMARY_MS, reply));
    }

    private void change(ConfigurationChange.Kind kind, ApiCall call, Consumer<ApiAnswer> answer) {
        Optional<Long> baseVersion = parseVersion(call.baseVersion());
        if (baseVersion.isEmpty()) {
            answer.accept(ApiAnswer.badField("X-Pinewick-Base-Version", "is missing or is no version number"));
            return;
        }
        ConfigurationChange change = new ConfigurationChange(kind, baseVersion.get(), call.body());
        answerInTime(answer, reply -> submit(change, call, loop.nowMs() + NO_PRIMARY_MS, reply));
    }

    private void submit(ConfigurationChange change, ApiCall call, double untilMs, Consumer<ApiAnswer> reply) {
        configuration.advanceClock(loop.nowMs());
        configuration.submit(change, outcome -> {
            boolean noPrimary =
                    outcome instanceof ChangeOutcome.NotPrimary elsewhere && !isElsewhere(elsewhere.primary());
            if (noPrimary && loop.nowMs() < untilMs) {
                loop.schedule(() -> submit(change, call, untilMs, reply), RETRY_MS);
            } else {
                reply.accept(toAnswer(outcome, call));
            }
        });
    }

    private void read(ApiCall call, double untilMs, Consumer<ApiAnswer> reply) {
        configuration.advanceClock(loop.nowMs());
        configuration.read(outcome -> {
            boolean noPrimary =
                    outcome instanceof ReadOutcome.NotPrimary elsewhere && !isElsewhere(elsewhere.primary());
            if (noPrimary && loop.nowMs() < untilMs) {
                loop.schedule(() -> read(call, untilMs, reply), RETRY_MS);
            } else {
                reply.accept(toAnswer(outcome, call));
            }
        });
    }

    /** A primary that is this process itself has only just been lost, or has not begun yet. */
    private boolean isElsewhere(Optional<SocketAddress> primary) {
        return primary.isPresent() && !primary.get().equals(self);
    }

    private static Optional<Long> parseVersion(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String digits = text.trim();
        boolean proper = !digits.isEmpty()
                && digits.length() <= MOST_VERSION_DIGITS
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        return proper ? Optional.of(Long.parseLong(digits)) : Optional.empty();
    }

    /** Runs a call on the loop; without an outcome in time, the caller is sent on. */
    private void answerInTime(Consumer<ApiAnswer> answer, Consumer<Consumer<ApiAnswer>> storeCall) {
        LoopCall.run(loop, answer, () -> {
            AtomicBoolean answered = new AtomicBoolean();
            Consumer<ApiAnswer> once = first -> {
                if (answered.compareAndSet(false, true)) {
                    answer.accept(first);
                }
            };
            storeCall.accept(once);
            if (!answered.get()) {
                loop.schedule(() -> once.accept(ApiAnswer.unavailable("no outcome in time")), deadlineMs);
            }
        });
    }

    private ApiAnswer toAnswer(ChangeOutcome outcome, ApiCall call) {
        if (outcome instanceof ChangeOutcome.Accepted) {
            return ApiAnswer.ok();
        }
        if (outcome instanceof ChangeOutcome.VersionConflict conflict) {
            return ApiAnswer.error(
                    HttpStatus.PRECONDITION_FAILED_412, "the current version is " + conflict.currentVersion());
        }
        if (outcome instanceof ChangeOutcome.Invalid invalid) {
            return ApiAnswer.invalid(invalid.faults());
        }
        if (outcome instanceof ChangeOutcome.NotPrimary elsewhere) {
            return toPrimary(elsewhere.primary(), call);
        }
        return ApiAnswer.unavailable(((ChangeOutcome.Unknown) outcome).reason());
    }

    private ApiAnswer toAnswer(ReadOutcome outcome, ApiCall call) {
        if (outcome instanceof ReadOutcome.Current current) {
            return ApiAnswer.ok(ConfigurationChecks.toJson(current.document()));
        }
        if (outcome instanceof ReadOutcome.NotPrimary elsewhere) {
            return toPrimary(elsewhere.primary(), call);
        }
        return ApiAnswer.unavailable(((ReadOutcome.Unavailable) outcome).reason());
    }

    private ApiAnswer toPrimary(Optional<SocketAddress> primary, ApiCall call) {
        return isElsewhere(primary)
                ? ApiAnswer.redirect(primary.get(), call.path())
                : ApiAnswer.unavailable("no primary is known");
    }
}
