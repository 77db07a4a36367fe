package pinewick.dataplane;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import pinewick.model.ReplicaRecord;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.selection.CallKind;
import pinewick.selection.CallOutcome;
import pinewick.selection.CallPriority;
import pinewick.selection.ReplicaSelector;

/**
 * One attempt of a client request at a replica: classifies the response, and reports it to the replica selection and to
 * the request's lifecycle. The selection is notified of the end of the attempt exactly once.
 */
final class UpstreamAttempt implements CallListener {
    /** Longest response that is buffered until it is complete, bytes; a longer one is forwarded in chunks. */
    static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 5;

    private static final double REMAINING_TIME_FRACTION = 0.35;
    private static final double TARGET_LATENCY_FACTOR = 1.5;
    private static final double MAX_REMAINING_TIME_FRACTION = 0.6;
    private static final double SERVICE_TIME_FACTOR = 2.5;

    /** Least idle timeout of a stream; clients abandon a stream after two seconds without an event, or later. */
    private static final double MIN_STREAM_IDLE_TIMEOUT_MS = 1_000;

    private static final double STREAM_IDLE_GAP_FACTOR = 5;

    /** How the body of the response is handled. */
    private enum Mode {
        /** The head has not arrived. */
        NONE,
        /** The replica rejected the request. */
        REJECTION,
        /** Buffered until it is complete. */
        BUFFERED,
        /** Forwarded in chunks. */
        CHUNKS,
        /** Forwarded event by event. */
        EVENTS
    }

    private final RequestLifecycle lifecycle;
    private final DataPlaneServices services;
    private final ReplicaRecord replica;
    private final CallKind kind;
    private final ReplicaRecord prefillReplica;
    private ReplicaSelector.Call measurement;
    private UpstreamCall upstream;
    private Timers.Timer attemptTimeout;
    private Mode mode = Mode.NONE;
    private ResponseHead head;
    private ByteArrayOutputStream bufferedBody;
    private boolean firstEventSeen;
    private double lastEventAtMs;
    private boolean readPaused;

    /** @param prefillReplica the prefill replica, null unless this is a disaggregated decode */
    UpstreamAttempt(
            RequestLifecycle lifecycle,
            DataPlaneServices services,
            ReplicaRecord replica,
            CallKind kind,
            ReplicaRecord prefillReplica) {
        this.lifecycle = lifecycle;
        this.services = services;
        this.replica = replica;
        this.kind = kind;
        this.prefillReplica = prefillReplica;
    }

    ReplicaRecord replica() {
        return replica;
    }

    CallKind kind() {
        return kind;
    }

    ResponseHead head() {
        return head;
    }

    /** Whether the response is an event stream; only such a response can be resumed at another replica. */
    boolean isEventStream() {
        return mode == Mode.EVENTS;
    }

    /**
     * Sends the request to the replica.
     *
     * @param requestOfPriority builds the request with the priority of the call
     */
    void begin(IntFunction<UpstreamRequest> requestOfPriority) {
        measurement = kind == CallKind.DISAGGREGATED_DECODE
                ? services.selector().startDisaggregatedDecode(replica, prefillReplica, lifecycle.shape(), now())
                : services.selector().startCall(replica, kind, lifecycle.shape(), now());
        int priority = CallPriority.of(lifecycle.shape(), measurement.expectedServiceMs(), now());
        upstream = services.upstream().send(replica, requestOfPriority.apply(priority), this);
        if (kind == CallKind.PREFILL || lifecycle.shape().route().isRetriable()) {
            attemptTimeout = services.timers().schedule(attemptTimeoutMs(), () -> lifecycle.tryNextReplica(this));
        }
    }

    /**
     * The timeout of an attempt that may be retried, milliseconds. It grows with the expected service time, because a
     * long prompt takes longer at any replica.
     */
    private double attemptTimeoutMs() {
        double remainingMs = lifecycle.remainingMs();
        return attemptTimeoutMs(
                remainingMs, lifecycle.shape().route().targetLatencyMs(), measurement.expectedServiceMs());
    }

    /**
     * The timeout of an attempt that may be retried, milliseconds.
     *
     * @param remainingMs time until the request's deadline
     * @param targetMs target latency of its route
     * @param expectedServiceMs expected time of the call without queueing
     */
    static double attemptTimeoutMs(double remainingMs, double targetMs, double expectedServiceMs) {
        double usual = Math.max(remainingMs * REMAINING_TIME_FRACTION, targetMs * TARGET_LATENCY_FACTOR);
        double bounded = Math.min(usual, remainingMs * MAX_REMAINING_TIME_FRACTION);
        return Math.max(bounded, Math.min(remainingMs, expectedServiceMs * SERVICE_TIME_FACTOR));
    }

    /** Aborts the attempt and reports {@code outcome}; returns whether the replica may have executed the request. */
    boolean cancel(CallOutcome outcome) {
        boolean mayHaveExecuted = kind != CallKind.PREFILL && mode != Mode.REJECTION && upstream.isSent();
        upstream.abort();
        end(mode == Mode.REJECTION ? CallOutcome.REJECTED : outcome);
        return mayHaveExecuted;
    }

    void pauseReading() {
        readPaused = true;
        upstream.pauseReading();
    }

    void resumeReading() {
        readPaused = false;
        upstream.resumeReading();
    }

    /** Whether reading is paused because the client does not read its response. */
    boolean isReadPaused() {
        return readPaused;
    }

    @Override
    public void onNotSent(NotSent reason) {
        end(reason == NotSent.NOT_CONNECTED ? CallOutcome.CONNECT_FAILED : CallOutcome.CANCELLED);
        lifecycle.onNotSent(this);
    }

    @Override
    public void onHead(ResponseHead responseHead) {
        head = responseHead;
        if (head.saysNotExecuted()) {
            mode = Mode.REJECTION;
        } else if (!head.isSuccess()) {
            mode = Mode.BUFFERED;
        } else if (!isUsableSuccess()) {
            upstream.abort();
            endFailed();
            return;
        } else {
            mode = kind != CallKind.PREFILL && head.isEventStream() ? Mode.EVENTS : Mode.BUFFERED;
            onSuccessHead();
        }
        if (mode == Mode.BUFFERED) {
            bufferedBody = new ByteArrayOutputStream();
        }
        if (mode != Mode.EVENTS) {
            cancelAttemptTimeout();
        }
    }

    private boolean isUsableSuccess() {
        if (head.isEncoded()) {
            return false;
        }
        return kind == CallKind.PREFILL || (head.isSigned() && (!lifecycle.isStreaming() || head.isEventStream()));
    }

    private void onSuccessHead() {
        if (kind == CallKind.DISAGGREGATED_DECODE) {
            lifecycle.onHandleAccepted();
        }
        if (mode == Mode.BUFFERED) {
            measurement.onFirstEvent(now());
        } else {
            lifecycle.events().restart(lifecycle.isStreaming());
        }
    }

    @Override
    public void onContent(ByteBuffer content) {
        switch (mode) {
            case BUFFERED -> buffer(content);
            case CHUNKS -> lifecycle.forward(this, bytesOf(content));
            case EVENTS -> readEvents(content);
            default -> content.position(content.limit());
        }
    }

    private void buffer(ByteBuffer content) {
        bufferedBody.writeBytes(bytesOf(content));
        if (bufferedBody.size() > MAX_BUFFERED_BYTES) {
            if (kind == CallKind.PREFILL || head.impliesNotExecuted()) {
                upstream.abort();
                endFailed();
                return;
            }
            mode = Mode.CHUNKS;
            lifecycle.forward(this, bufferedBody.toByteArray());
            bufferedBody = null;
        }
    }

    private void readEvents(ByteBuffer content) {
        forwardEvents(lifecycle.events().read(content));
        if (lifecycle.events().isEventTooLong()) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "stream broken off: replica %s sent an event that is too long to be buffered",
                    replica.instanceId());
            upstream.abort();
            endFailed();
        }
    }

    private void forwardEvents(byte[] events) {
        if (events.length == 0) {
            return;
        }
        if (firstEventSeen) {
            measurement.onEvent(now());
        } else {
            firstEventSeen = true;
            cancelAttemptTimeout();
            measurement.onFirstEvent(now());
            lastEventAtMs = now();
            scheduleStreamIdleTimeout();
        }
        lastEventAtMs = now();
        lifecycle.forward(this, events);
    }

    /** Schedules the check that resumes an idle stream at another replica before its client abandons it. */
    private void scheduleStreamIdleTimeout() {
        Route route = lifecycle.shape().route();
        if (!route.resumable() || route.kind() != RouteKind.STREAMING) {
            return;
        }
        double idleTimeoutMs = Math.max(MIN_STREAM_IDLE_TIMEOUT_MS, STREAM_IDLE_GAP_FACTOR * route.targetGapMs());
        double remainingMs = lastEventAtMs + idleTimeoutMs - now();
        attemptTimeout = services.timers().schedule(remainingMs > 0 ? remainingMs : idleTimeoutMs, () -> {
            boolean isIdle = now() - lastEventAtMs >= idleTimeoutMs;
            if (!isIdle || !lifecycle.tryNextReplica(this)) {
                scheduleStreamIdleTimeout();
            }
        });
    }

    @Override
    public void onComplete() {
        switch (mode) {
            case REJECTION -> endRejected();
            case EVENTS -> completeEvents();
            case CHUNKS -> {
                end(CallOutcome.COMPLETED);
                lifecycle.onStreamComplete(this);
            }
            default -> completeBuffered(bufferedBody.toByteArray());
        }
    }

    /**
     * Completes an event stream. A stream whose end is marked only by the close of its connection counts as complete if
     * it has at least one event and ends directly after one; otherwise the replica may have failed within an event.
     */
    private void completeEvents() {
        byte[] rest = lifecycle.events().remainder();
        if (!head.framed() && (rest.length > 0 || !firstEventSeen)) {
            endFailed();
            return;
        }
        end(CallOutcome.COMPLETED);
        if (rest.length > 0) {
            lifecycle.forward(this, rest);
        }
        lifecycle.onStreamComplete(this);
    }

    private void completeBuffered(byte[] body) {
        if (kind == CallKind.PREFILL) {
            completePrefill(body);
        } else if (head.isSuccess()) {
            end(CallOutcome.COMPLETED);
            lifecycle.onCompleteResponse(this, body);
        } else {
            end(CallOutcome.FAILED);
            lifecycle.onErrorResponse(
                    this,
                    head.impliesNotExecuted()
                            ? lifecycle::failBadGateway
                            : () -> lifecycle.onCompleteResponse(this, body));
        }
    }

    private void completePrefill(byte[] body) {
        Optional<PrefillHandle> handle =
                head.isSuccess() ? PrefillHandle.parse(replica, body, now()) : Optional.empty();
        if (handle.isPresent()) {
            end(CallOutcome.COMPLETED);
            lifecycle.onPrefilled(handle.get());
        } else {
            endFailed();
        }
    }

    @Override
    public void onFailure(String reason) {
        if (mode == Mode.REJECTION) {
            endRejected();
        } else {
            endFailed();
        }
    }

    private void endRejected() {
        end(CallOutcome.REJECTED);
        lifecycle.onRejected(this);
    }

    private void endFailed() {
        end(CallOutcome.FAILED);
        lifecycle.onFailed(this);
    }

    private void end(CallOutcome outcome) {
        cancelAttemptTimeout();
        measurement.onEnd(outcome, now());
    }

    private void cancelAttemptTimeout() {
        if (attemptTimeout != null) {
            attemptTimeout.cancel();
        }
    }

    private static byte[] bytesOf(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private double now() {
        return services.timers().nowMs();
    }
}
