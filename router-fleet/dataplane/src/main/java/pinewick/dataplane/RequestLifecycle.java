package pinewick.dataplane;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;
import pinewick.model.ReplicaRecord;
import pinewick.model.RouteKind;
import pinewick.selection.CallKind;
import pinewick.selection.CallOutcome;
import pinewick.selection.ReplicaPair;
import pinewick.selection.RequestShape;

/**
 * The state machine of one client request, from its last byte to the end of its response: which replicas it is sent to,
 * what is retried, and how the client is answered. Performs no I/O itself: calls and the client's connection are
 * interfaces, and events are delivered one at a time.
 *
 * <p>Invariant: 503 tells the client that the request was not executed. It is sent only if no replica can have executed
 * the request: each attempt that could have executed it was rejected by its replica, or no byte of it was sent.
 */
final class RequestLifecycle {
    /** A prefill handle older than this is not offered to a second decode replica, milliseconds. */
    private static final double MAX_REOFFERED_HANDLE_AGE_MS = 1_000;

    private final RequestShape shape;
    private final ReplicaRequests requests;
    private final QuotaAdmission quota;
    private final ClientReply reply;
    private final DataPlaneServices services;
    private final Consumer<RequestLifecycle> onEnded;
    private final AttemptTracker attempts;
    private final EventStreamReader events;
    private final Set<String> excluded = new HashSet<>();
    private boolean ended;
    private boolean mayHaveExecuted;
    /** Set once prefill replicas are no longer used for this request; serving is then aggregated. */
    private boolean prefillSkipped;

    private boolean handleRejected;
    private UpstreamAttempt active;
    private PrefillHandle handle;
    private Timers.Timer deadlineTimer;

    RequestLifecycle(
            ClientRequest request,
            RequestShape shape,
            QuotaAdmission quota,
            ClientExchange client,
            DataPlaneServices services,
            Consumer<RequestLifecycle> onEnded) {
        this.shape = shape;
        this.quota = quota;
        this.requests = new ReplicaRequests(request);
        this.reply = new ClientReply(request, client, services.random());
        this.services = services;
        this.onEnded = onEnded;
        this.attempts = new AttemptTracker(shape.service(), shape.route().maxAttempts(), services.budget());
        this.events =
                new EventStreamReader(request.fields().get(HeaderNames.LAST_EVENT_ID), services.responseBuffers());
    }

    /**
     * Starts the request after it was received completely. Nothing is sent to a replica before the tenant's quota
     * admits the request.
     */
    void start() {
        services.budget().onRequest(shape.service(), now());
        deadlineTimer = services.timers().schedule(shape.deadlineAtMs() - now(), this::onDeadline);
        quota.begin(() -> attempt(this::giveUp), this::onQuotaRejected);
    }

    private void onQuotaRejected(QuotaAdmission.Rejection rejection) {
        reply.reject(rejection.status(), rejection.retryAfterSeconds());
        end();
    }

    /** Ends the request because its client has disconnected. */
    void onClientDisconnected() {
        if (ended) {
            return;
        }
        cancelActive(CallOutcome.CANCELLED);
        end();
    }

    /** Resumes reading from the replica once all pending bytes were written to the client. */
    void onClientDrained() {
        if (active != null) {
            active.resumeReading();
        }
    }

    /** Responds with an error at once because the router shuts down. */
    void onShutdown() {
        if (!ended) {
            boolean attemptMayHaveExecuted = cancelActive(CallOutcome.CANCELLED);
            mayHaveExecuted |= attemptMayHaveExecuted;
            giveUp();
        }
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        boolean attemptMayHaveExecuted = cancelActive(CallOutcome.TIMED_OUT);
        fail(
                attemptMayHaveExecuted || mayHaveExecuted
                        ? HttpStatus.GATEWAY_TIMEOUT_504
                        : HttpStatus.SERVICE_UNAVAILABLE_503);
    }

    /** Cancels the active attempt; returns whether a replica may have executed the request. */
    private boolean cancelActive(CallOutcome outcome) {
        UpstreamAttempt call = active;
        active = null;
        return call != null && call.cancel(outcome);
    }

    // ---- choosing and calling

    /**
     * Sends the request to the next replica, or runs {@code fallback} if no replica is eligible or no attempt is left.
     */
    private void attempt(Runnable fallback) {
        Optional<ReplicaPair> pair = choose();
        if (pair.isEmpty() || !attempts.tryReserve(now())) {
            fallback.run();
        } else {
            begin(pair.get());
        }
    }

    private Optional<ReplicaPair> choose() {
        return services.chooser().choose(shape, candidates(), excluded, now());
    }

    private List<ReplicaRecord> candidates() {
        return services.directory().candidates(shape.service());
    }

    private void begin(ReplicaPair pair) {
        boolean prefillsFirst = pair.prefill().isPresent()
                && handle == null
                && !prefillSkipped
                && !isStreaming()
                && services.kvTransferHealth().isTransferAllowed(shape.service(), now());
        if (prefillsFirst) {
            callPrefill(pair.prefill().get());
        } else {
            callDecode(pair.decode());
        }
    }

    private void callPrefill(ReplicaRecord replica) {
        active = new UpstreamAttempt(this, services, replica, CallKind.PREFILL, null);
        active.begin(priority -> requests.prefill(replica, remainingMs(), priority));
    }

    private void callDecode(ReplicaRecord replica) {
        ReplicaRecord prefillReplica = handle == null ? null : handle.replica();
        active = new UpstreamAttempt(this, services, replica, decodeKind(), prefillReplica);
        String resumeAfter = isStreaming() ? events.lastEventId() : null;
        active.begin(priority -> requests.execution(replica, remainingMs(), priority, handle, resumeAfter));
    }

    private CallKind decodeKind() {
        if (handle != null) {
            return CallKind.DISAGGREGATED_DECODE;
        }
        return shape.generation() ? CallKind.AGGREGATED_DECODE : CallKind.PLAIN;
    }

    // ---- events of attempts

    /** No byte of the attempt was sent: tries the next replica without counting the attempt. */
    void onNotSent(UpstreamAttempt call) {
        active = null;
        attempts.release();
        excluded.add(call.replica().instanceId());
        attempt(this::giveUp);
    }

    /** The replica rejected the request without executing it: tries the next replica. */
    void onRejected(UpstreamAttempt call) {
        active = null;
        excluded.add(call.replica().instanceId());
        if (call.kind() == CallKind.PREFILL) {
            prefillSkipped = true;
        } else if (call.kind() == CallKind.DISAGGREGATED_DECODE) {
            onFetchRejected();
        }
        attempt(this::giveUp);
    }

    /**
     * Handles a decode replica's rejection of a KV transfer. Either the replica was at capacity or the handle has
     * expired; the response does not say which.
     */
    private void onFetchRejected() {
        services.kvTransferHealth().onRejected(shape.service(), now());
        prefillSkipped = true;
        boolean fresh = now() - handle.createdAtMs() < MAX_REOFFERED_HANDLE_AGE_MS;
        if (!fresh || handleRejected || !services.kvTransferHealth().mayRetryTransfer(shape.service())) {
            releaseHandle();
        }
        handleRejected = true;
    }

    /** The attempt failed after bytes of it were sent, without a response that may be forwarded. */
    void onFailed(UpstreamAttempt call) {
        active = null;
        excluded.add(call.replica().instanceId());
        if (call.kind() == CallKind.PREFILL) {
            prefillSkipped = true;
            attempt(this::giveUp);
            return;
        }
        mayHaveExecuted = true;
        releaseHandle();
        prefillSkipped = true;
        boolean mayContinue = isStreaming()
                ? shape.route().kind() == RouteKind.STREAMING && shape.route().resumable() && call.isEventStream()
                : shape.route().isRetriable();
        if (mayContinue) {
            attempt(this::giveUp);
        } else {
            giveUp();
        }
    }

    /**
     * The replica responded with an error. Tries the next replica if the route allows; otherwise
     * {@code forwardResponse} forwards the error to the client.
     */
    void onErrorResponse(UpstreamAttempt call, Runnable forwardResponse) {
        active = null;
        excluded.add(call.replica().instanceId());
        mayHaveExecuted = true;
        releaseHandle();
        if (isStreaming()) {
            attempt(this::giveUp);
        } else if (shape.route().isRetriable() && call.head().isServerError()) {
            attempt(forwardResponse);
        } else {
            forwardResponse.run();
        }
    }

    /** Replaces an attempt that has timed out by one at another replica; returns false if that is not possible. */
    boolean tryNextReplica(UpstreamAttempt call) {
        if (call != active || call.isReadPaused()) {
            return false;
        }
        excluded.add(call.replica().instanceId());
        Optional<ReplicaPair> pair = choose();
        if (pair.isEmpty() || !attempts.tryReserve(now())) {
            excluded.remove(call.replica().instanceId());
            return false;
        }
        boolean attemptMayHaveExecuted = cancelActive(CallOutcome.TIMED_OUT);
        mayHaveExecuted |= attemptMayHaveExecuted;
        prefillSkipped = true;
        releaseHandle();
        begin(pair.get());
        return true;
    }

    /** The prefill is complete: calls a decode replica with its handle. */
    void onPrefilled(PrefillHandle newHandle) {
        active = null;
        handle = newHandle;
        attempts.onPrefillAccepted();
        Optional<ReplicaRecord> decode =
                services.chooser().chooseDecode(shape, newHandle.replica(), candidates(), excluded, now());
        if (decode.isPresent() && attempts.tryReserve(now())) {
            callDecode(decode.get());
        } else {
            giveUp();
        }
    }

    /** A decode replica has started to respond, which means that it has received the KV cache. */
    void onHandleAccepted() {
        services.kvTransferHealth().onTransferred(shape.service());
        handle = null;
    }

    // ---- forwarding to the client

    /** Forwards bytes of complete events, or of a response too long to be buffered. */
    void forward(UpstreamAttempt call, byte[] bytes) {
        if (!reply.forward(call.head(), bytes)) {
            call.pauseReading();
        }
    }

    /** The response that was forwarded in chunks or events is complete. */
    void onStreamComplete(UpstreamAttempt call) {
        active = null;
        reply.endStream(call.head());
        end();
    }

    /** A buffered response is complete: forwards it. */
    void onCompleteResponse(UpstreamAttempt call, byte[] body) {
        active = null;
        reply.respond(call.head(), body);
        end();
    }

    EventStreamReader events() {
        return events;
    }

    RequestShape shape() {
        return shape;
    }

    /** Whether the head of a response was sent to the client. */
    boolean isStreaming() {
        return reply.isHeadSent();
    }

    double remainingMs() {
        return shape.deadlineAtMs() - now();
    }

    // ---- ending

    private void giveUp() {
        fail(mayHaveExecuted ? HttpStatus.BAD_GATEWAY_502 : HttpStatus.SERVICE_UNAVAILABLE_503);
    }

    void failBadGateway() {
        fail(HttpStatus.BAD_GATEWAY_502);
    }

    private void fail(int status) {
        reply.fail(status);
        end();
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel();
        quota.cancel();
        events.close();
        releaseHandle();
        attempts.close();
        onEnded.accept(this);
    }

    private void releaseHandle() {
        if (handle != null) {
            PrefillHandleRelease.send(services, handle);
            handle = null;
        }
    }

    private double now() {
        return services.timers().nowMs();
    }
}
