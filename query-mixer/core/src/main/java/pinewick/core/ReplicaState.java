package pinewick.core;

import java.util.LinkedHashSet;
import pinewick.selection.WindowedMinimum;
import pinewick.selection.WindowedSum;

/** What one router was told of a replica and saw of it; what follows from that is decided in {@link Follower}. */
class ReplicaState {
    final String id;
    /** As listed; {@code startedAt} 0 means long ago. */
    SchedulerHost.LifecycleState stage = SchedulerHost.LifecycleState.READY;

    int cell;
    boolean sameZone;
    double startedAt;
    /** Since when it has been gone. */
    double goneAt = Double.POSITIVE_INFINITY;
    /** The last load report: parts in its queue, busy share of its cores, when it came. */
    double queue;

    double busyShare;
    double reportedAt = Double.NEGATIVE_INFINITY;
    int launchedSinceReport;
    /** Whether any launch was measured since its start, and the smoothed latency. */
    boolean measured;

    double latency;
    WindowedMinimum lowestLatency = new WindowedMinimum();
    /** How much longer launches took than load reports foretold, smoothed, and when that was last measured. */
    double hiddenDelay;

    double hiddenDelayAt;
    double answeredAt = Double.NEGATIVE_INFINITY;
    /** When the newest of the launches that it has answered was sent. */
    double newestAnsweredSentAt = Double.NEGATIVE_INFINITY;
    /** How many parts may be outstanding, and when that was last cut. */
    double room;

    double roomCutAt = Double.NEGATIVE_INFINITY;
    private final double firstRoom;
    /** Launches without an outcome yet. */
    final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
    /** Parts that the plan being made would add. */
    int planned;
    /** Work sent to it during its warm-up. */
    final WindowedSum coldWork = new WindowedSum();
    /** Failures in a row. */
    int failures;
    /** Until when it is left alone after failures. */
    double backoffUntil;
    /** Whether a connection failed since its last answer, though it had answered before. */
    boolean unreachable;
    /** Whether the last probe or connection brought no word from it. */
    boolean silent;

    boolean probing;
    double probedAt;
    /** Whether it may get one part as a trial once its backoff is over. */
    boolean trialAllowed;

    ReplicaState(String id, double firstRoom) {
        this.id = id;
        this.firstRoom = firstRoom;
        room = firstRoom;
    }

    /** Parts that it has or would have by the plan being made. */
    int load() {
        return outstanding.size() + planned;
    }

    /** When the oldest launch without an outcome was sent; now if there is none. */
    double oldestSentAt(double now) {
        return outstanding.isEmpty() ? now : outstanding.iterator().next().sentAt;
    }

    void launched(Attempt launch) {
        outstanding.add(launch);
        launchedSinceReport++;
    }

    void probeSent(double at) {
        probing = true;
        probedAt = at;
    }

    void probeEnded(SchedulerHost.Outcome ending) {
        probing = false;
        heardFrom(ending);
    }

    /** A word came from it, or a probe got none. One silent before was not slow: its hidden delay is forgotten. */
    void heardFrom(SchedulerHost.Outcome ending) {
        boolean noWord = ending == SchedulerHost.Outcome.TIMED_OUT || ending == SchedulerHost.Outcome.NOT_CONNECTED;
        hiddenDelay = silent && !noWord ? 0 : hiddenDelay;
        silent = noWord;
    }

    /** A new process: nothing that was seen of the one before still holds. */
    void restarted(double at) {
        startedAt = at;
        measured = false;
        hiddenDelay = 0;
        failures = 0;
        queue = 0;
        busyShare = 0;
        room = firstRoom;
        lowestLatency = new WindowedMinimum();
    }
}
