package pinewick.protocol;

/**
 * Decides when the list in hand is doubted, and what is asked of the agent next. No I/O and no clock: events and times
 * (seconds) come in, what to do goes out. One figure rules: the last moment at which the list is known to have been
 * current. The deadline runs from there and no try begins it anew.
 *
 * <p>Danger: a watch that fell silent, or one opened anew that sends its head and no more, hides a drain that counts as
 * told {@value #TOLD_AFTER} s after discovery had it. Also catches an agent that accepts and says nothing, one whose
 * objects can't be read, and a moved address. Harm: a mixer that stands still for a second asks for a list that it has.
 *
 * <p>While no try succeeds the list in hand stays in force: what discovery has to tell counts as told only from when it
 * can be reached, and to stop serving would turn an outage of discovery into one of the service.
 */
public final class ReplicaListFreshness {
    /** What to ask of the agent. */
    public enum RequestKind {
        WATCH,
        FULL
    }

    /** What is due now: nothing, to begin a try, or to leave the connection of the present one. */
    public enum Action {
        NONE,
        CONNECT,
        DISCONNECT
    }

    /* The page's figures: a line this often on a watch where nothing changes, and when a change counts as told. */
    private static final double LINE_EVERY = 2;
    static final double TOLD_AFTER = 6;

    /** A line may be late by this, as a mixer on a part of a core reads late. */
    private static final double LINE_SLACK = 1;
    /** Three tries and their pauses fit between doubt and the time at which a change counts as told. */
    private static final double TRY = (TOLD_AFTER - LINE_EVERY - LINE_SLACK) / 3 - 0.2;

    private static final double PAUSE_LEAST = 0.1;
    /** An agent that is down for long is asked this seldom; a pause and two tries fit in {@value #TOLD_AFTER} s. */
    private static final double PAUSE_MOST = 0.5;
    /** An agent whose objects can't be read is asked this seldom; the whole list keeps the mixer current meanwhile. */
    private static final double SPOILT_PAUSE_MOST = 2;

    /** So many tries in a row have to bring nothing before a new process serves by a list that may be old. */
    private static final int TRIES_BEFORE_OLD = 2;

    private enum State {
        PAUSED,
        TRYING,
        FOLLOWING
    }

    private State state = State.PAUSED;
    private RequestKind next;
    private boolean wholeNeeded;
    private double since;
    private double until;
    private double provenAt = Double.NEGATIVE_INFINITY;
    private double movedAt = Double.NEGATIVE_INFINITY;
    private double pause;
    private double spoiltPause;
    private int failedTries;

    /** A new process holds a list that may be old, so it reads a whole one first. */
    public ReplicaListFreshness(double now) {
        next = RequestKind.FULL;
        wholeNeeded = true;
        until = now;
    }

    public RequestKind next() {
        return next;
    }

    /** When {@link #due} has to be asked again at the latest. */
    public double dueAt() {
        return switch (state) {
            case PAUSED -> until;
            case TRYING -> since + TRY;
            case FOLLOWING -> Math.max(since + TRY, movedAt > provenAt ? movedAt + TRY : doubtAt());
        };
    }

    private double doubtAt() {
        return provenAt + LINE_EVERY + LINE_SLACK;
    }

    public Action due(double now) {
        if (now < dueAt()) {
            return Action.NONE;
        }
        if (state == State.PAUSED) {
            state = State.TRYING;
            since = now;
            return Action.CONNECT;
        }
        boolean doubted = state == State.FOLLOWING;
        over(now, false);
        if (doubted) {
            // It may be the watch alone that is broken; the whole list is answered at once and proves itself.
            next = RequestKind.FULL;
            until = now;
        }
        return Action.DISCONNECT;
    }

    /** The head of a watch's answer has come: the agent is there, but its list is not proven by that. */
    public void head() {
        if (state == State.TRYING && next == RequestKind.WATCH) {
            state = State.FOLLOWING;
        }
    }

    /** An object was accepted from the watch, or a line came that says that nothing has changed. */
    public void line(double readAt, boolean accepted) {
        proven(readAt);
        if (accepted) {
            spoiltPause = 0;
        }
    }

    /** The whole list was read and accepted; it is as new as the asking for it. */
    public void whole(double now) {
        proven(since);
        wholeNeeded = false;
        next = RequestKind.WATCH;
        state = State.PAUSED;
        until = now + spoiltPause;
    }

    /** The whole list that came is older than the one in hand: that proves nothing, and a watch may tell more. */
    public void older(double now) {
        over(now, false);
        wholeNeeded = false;
        next = RequestKind.WATCH;
    }

    private void proven(double at) {
        provenAt = Math.max(provenAt, at);
        pause = 0;
        failedTries = 0;
    }

    /** The present try or watch is over: refused, ended, reset, or {@code spoilt}: not in the form. */
    public void over(double now, boolean spoilt) {
        if (state == State.PAUSED) {
            return;
        }
        failedTries += state == State.TRYING || spoilt ? 1 : 0;
        state = State.PAUSED;
        boolean hurry = now < Math.max(provenAt, movedAt) + TOLD_AFTER;
        pause = hurry ? PAUSE_LEAST : Math.max(PAUSE_LEAST, Math.min(PAUSE_MOST, 2 * pause));
        until = now + pause;
        if (spoilt) {
            // Danger: an agent whose watch can't be read would have the whole list read ten times a second for ever.
            spoiltPause = Math.max(PAUSE_LEAST, Math.min(SPOILT_PAUSE_MOST, 2 * spoiltPause));
            until = next == RequestKind.FULL ? now + Math.max(pause, spoiltPause) : until;
            wholeNeeded = true;
        }
        // In doubt the two ways take turns: an agent may answer one of them only.
        next = wholeNeeded || (now >= doubtAt() && next == RequestKind.WATCH) ? RequestKind.FULL : RequestKind.WATCH;
    }

    /**
     * Another address was told: it has to prove itself within a try's time, and the tries go on without long pauses.
     */
    public void moved(double now) {
        state = State.PAUSED;
        until = now;
        movedAt = now;
    }

    /** Whether the list in hand may be served by although it was never proven: the agent says nothing. */
    public boolean canServeUnconfirmed() {
        return failedTries >= TRIES_BEFORE_OLD;
    }
}
