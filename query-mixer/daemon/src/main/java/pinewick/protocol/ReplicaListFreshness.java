package pinewick.protocol;

/**
 * Decides when the current replica list counts as stale, and what to request from the discovery agent next. No I/O and
 * no clock: events and times (seconds) are passed in, actions are returned. One value governs it: the last time at
 * which the list is known to have been current. The deadline runs from there, and no attempt restarts it.
 *
 * <p>Guards against a watch that went silent, or one that was reopened and sends its head and nothing more: it would
 * hide a drain, which counts as announced {@value #MAX_STALENESS_SECONDS} s after discovery had it. The same covers an
 * agent that accepts connections and sends nothing, one whose objects cannot be parsed, and a changed address. Cost: a
 * router that was paused for a second requests a list that it has already.
 *
 * <p>While no attempt succeeds the current list stays in force: what discovery announces counts only from when it can
 * be reached, and to stop serving would turn an outage of discovery into one of the service.
 */
public final class ReplicaListFreshness {
    /** What to request from the agent: a watch, or the complete list. */
    public enum RequestKind {
        WATCH,
        FULL
    }

    /** The action due now: nothing, to start an attempt, or to close the connection of the current one. */
    public enum Action {
        NONE,
        CONNECT,
        DISCONNECT
    }

    /*
     * From the specification: how often a watch sends a line where nothing changes, and when a change counts as
     * announced.
     */
    private static final double HEARTBEAT_INTERVAL_SECONDS = 2;
    static final double MAX_STALENESS_SECONDS = 6;

    /** A line may be processed late by this much on a router that has only part of a core. */
    private static final double HEARTBEAT_SLACK_SECONDS = 1;
    /**
     * Three attempts with their backoff fit between the time the list becomes stale and the time at which a change
     * counts as announced.
     */
    private static final double ATTEMPT_TIMEOUT_SECONDS =
            (MAX_STALENESS_SECONDS - HEARTBEAT_INTERVAL_SECONDS - HEARTBEAT_SLACK_SECONDS) / 3 - 0.2;

    private static final double MIN_BACKOFF_SECONDS = 0.1;
    /**
     * Backoff for an agent that is down for long; one backoff and two attempts fit into {@value #MAX_STALENESS_SECONDS}
     * s.
     */
    private static final double MAX_BACKOFF_SECONDS = 0.5;
    /** Backoff for an agent whose objects cannot be parsed; the complete list keeps the router current meanwhile. */
    private static final double MAX_MALFORMED_BACKOFF_SECONDS = 2;

    /** Number of consecutive failed attempts after which a new process serves from a list that may be old. */
    private static final int FAILED_ATTEMPTS_BEFORE_UNCONFIRMED = 2;

    private enum State {
        BACKOFF,
        CONNECTING,
        FOLLOWING
    }

    private State state = State.BACKOFF;
    private RequestKind nextRequest;
    private boolean needsFullList;
    private double attemptStartedAt;
    private double backoffUntil;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double addressChangedAt = Double.NEGATIVE_INFINITY;
    private double backoff;
    private double malformedBackoff;
    private int failedAttempts;

    /** A new process has a list that may be old, so it requests the complete list first. */
    public ReplicaListFreshness(double now) {
        nextRequest = RequestKind.FULL;
        needsFullList = true;
        backoffUntil = now;
    }

    public RequestKind nextRequest() {
        return nextRequest;
    }

    /** Latest time at which {@link #dueAction} must be called again. */
    public double dueAt() {
        return switch (state) {
            case BACKOFF -> backoffUntil;
            case CONNECTING -> attemptStartedAt + ATTEMPT_TIMEOUT_SECONDS;
            case FOLLOWING -> Math.max(
                    attemptStartedAt + ATTEMPT_TIMEOUT_SECONDS,
                    addressChangedAt > confirmedAt ? addressChangedAt + ATTEMPT_TIMEOUT_SECONDS : staleAt());
        };
    }

    private double staleAt() {
        return confirmedAt + HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_SLACK_SECONDS;
    }

    public Action dueAction(double now) {
        if (now < dueAt()) {
            return Action.NONE;
        }
        if (state == State.BACKOFF) {
            state = State.CONNECTING;
            attemptStartedAt = now;
            return Action.CONNECT;
        }
        boolean wasFollowing = state == State.FOLLOWING;
        onAttemptEnd(now, false);
        if (wasFollowing) {
            // Possibly only the watch is broken; the complete list is answered at once and confirms itself.
            nextRequest = RequestKind.FULL;
            backoffUntil = now;
        }
        return Action.DISCONNECT;
    }

    /** The head of a watch response has arrived: the agent is reachable, but this does not confirm the list. */
    public void onWatchOpened() {
        if (state == State.CONNECTING && nextRequest == RequestKind.WATCH) {
            state = State.FOLLOWING;
        }
    }

    /** An object from the watch was accepted, or a line arrived which says that nothing has changed. */
    public void onLine(double readAt, boolean accepted) {
        confirm(readAt);
        if (accepted) {
            malformedBackoff = 0;
        }
    }

    /** The complete list was read and accepted; it is as recent as the request for it. */
    public void onFullList(double now) {
        confirm(attemptStartedAt);
        needsFullList = false;
        nextRequest = RequestKind.WATCH;
        state = State.BACKOFF;
        backoffUntil = now + malformedBackoff;
    }

    /**
     * The complete list received is older than the current one: this confirms nothing, and a watch may deliver more.
     */
    public void onOlderList(double now) {
        onAttemptEnd(now, false);
        needsFullList = false;
        nextRequest = RequestKind.WATCH;
    }

    private void confirm(double at) {
        confirmedAt = Math.max(confirmedAt, at);
        backoff = 0;
        failedAttempts = 0;
    }

    /** The current attempt or watch has ended: refused, closed, reset, or {@code isMalformed}. */
    public void onAttemptEnd(double now, boolean isMalformed) {
        if (state == State.BACKOFF) {
            return;
        }
        failedAttempts += state == State.CONNECTING || isMalformed ? 1 : 0;
        state = State.BACKOFF;
        boolean isUrgent = now < Math.max(confirmedAt, addressChangedAt) + MAX_STALENESS_SECONDS;
        backoff = isUrgent
                ? MIN_BACKOFF_SECONDS
                : Math.max(MIN_BACKOFF_SECONDS, Math.min(MAX_BACKOFF_SECONDS, 2 * backoff));
        backoffUntil = now + backoff;
        if (isMalformed) {
            // An agent whose watch cannot be parsed would otherwise be asked for the complete list ten times a second
            // without end.
            malformedBackoff =
                    Math.max(MIN_BACKOFF_SECONDS, Math.min(MAX_MALFORMED_BACKOFF_SECONDS, 2 * malformedBackoff));
            backoffUntil = nextRequest == RequestKind.FULL ? now + Math.max(backoff, malformedBackoff) : backoffUntil;
            needsFullList = true;
        }
        // While the list is stale the two requests alternate: an agent may answer only one of them.
        nextRequest = needsFullList || (now >= staleAt() && nextRequest == RequestKind.WATCH)
                ? RequestKind.FULL
                : RequestKind.WATCH;
    }

    /**
     * The discovery address has changed: the new one has to confirm the list within one attempt, and attempts go on
     * without long backoff.
     */
    public void onAddressChange(double now) {
        state = State.BACKOFF;
        backoffUntil = now;
        addressChangedAt = now;
    }

    /** Whether the current list may be served although it was never confirmed, because the agent does not answer. */
    public boolean canServeUnconfirmed() {
        return failedAttempts >= FAILED_ATTEMPTS_BEFORE_UNCONFIRMED;
    }
}
