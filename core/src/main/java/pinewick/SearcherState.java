package pinewick;

import java.util.LinkedHashSet;
import pinewick.selection.RecentLowest;
import pinewick.selection.SlidingSum;

/** What one mixer was told of a searcher and saw of it; what follows from that is Logic's. */
class SearcherState {
    final String id;
    /** As listed; {@code startedAt} 0 means long ago. */
    Host.Stage stage = Host.Stage.READY;
    int cell;
    boolean near;
    double startedAt;
    /** Since when it has been gone. */
    double goneAt = Double.POSITIVE_INFINITY;
    /** The last load report, and launches since. */
    double queue, busyShare, reportAt = Double.NEGATIVE_INFINITY;
    int sentSince;
    /** Answers: smoothed latency, what they took beyond reports and when, the last one, the newest launch answered. */
    boolean heard;
    double r, untold, toldAt, answerAt = Double.NEGATIVE_INFINITY, answeredSentAt = Double.NEGATIVE_INFINITY;
    RecentLowest lowest = new RecentLowest();
    /** Launches out, parts that this turn would add, and work sent while cold. */
    final LinkedHashSet<Launch<Logic.Searcher>> out = new LinkedHashSet<>();
    int planned;
    final SlidingSum coldSpent = new SlidingSum();
    /** Failures in a row, and probes. */
    int failures;
    boolean unreached, probing, cleared, mute;
    double restUntil, askedAt;

    SearcherState(String id) {
        this.id = id;
    }

    void asked(double at) {
        probing = true;
        askedAt = at;
    }

    /** A word came from it, or a probe got none. One mute before was silent, not slow: what that told of a queue goes. */
    void spoke(Host.Ending ending) {
        boolean none = ending == Host.Ending.TIMED_OUT || ending == Host.Ending.NOT_CONNECTED;
        untold = mute && !none ? 0 : untold;
        mute = none;
    }

    /** A new process: nothing that was seen of the one before still holds. */
    void restarted(double at) {
        startedAt = at;
        heard = false;
        untold = 0;
        failures = 0;
        queue = busyShare = 0;
        lowest = new RecentLowest();
    }
}
