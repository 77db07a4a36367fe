package pinewick.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * One look at a member, step by step: pinged, pinged again, looked at by others, by others again, and then it counts as
 * silent since the first ping. As the silence counts from there, patience here costs no time: it only keeps lost
 * datagrams from raising suspicion.
 */
final class Probe {
    /** What is due next of a probe. */
    enum Due {
        NOTHING,
        PING_AGAIN,
        ASK_OTHERS,
        SILENT
    }

    final int target;
    final int number;
    final double since;
    private final double again;
    private final double most;
    private int step;
    /** Members that were asked, looked and saw nothing. */
    final List<Integer> lookedInVain = new ArrayList<>();

    /** @param stretch what the times are multiplied by, from this mixer's own health */
    Probe(int target, int number, double now, MembershipSettings terms, double stretch) {
        this.target = target;
        this.number = number;
        since = now;
        again = terms.again() * stretch;
        most = terms.probe() * stretch;
    }

    /** What is due now; each step is told once. */
    Due due(double now) {
        double spent = now - since;
        if (spent >= most) {
            return Due.SILENT;
        }
        // Pinged after one and four times the wait, others asked after two and four.
        if (step == 0 && spent >= again) {
            step = 1;
            return Due.PING_AGAIN;
        }
        if (step == 1 && spent >= 2 * again) {
            step = 2;
            return Due.ASK_OTHERS;
        }
        if (step == 2 && spent >= 3 * again) {
            step = 3;
            return Due.PING_AGAIN;
        }
        if (step == 3 && spent >= 3.5 * again) {
            step = 4;
            return Due.ASK_OTHERS;
        }
        return Due.NOTHING;
    }
}
