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
    enum Action {
        NONE,
        RETRY_PING,
        PING_REQUEST,
        TIMED_OUT
    }

    final int target;
    final int number;
    final double startedAt;
    private final double retrySeconds;
    private final double timeoutSeconds;
    private int step;
    /** Members that were asked, looked and saw nothing. */
    final List<Integer> failedHelpers = new ArrayList<>();

    /** @param stretch what the times are multiplied by, from this mixer's own health */
    Probe(int target, int number, double now, MembershipSettings settings, double timeoutMultiplier) {
        this.target = target;
        this.number = number;
        startedAt = now;
        retrySeconds = settings.pingRetrySeconds() * timeoutMultiplier;
        timeoutSeconds = settings.probeTimeoutSeconds() * timeoutMultiplier;
    }

    /** What is due now; each step is told once. */
    Action nextAction(double now) {
        double elapsed = now - startedAt;
        if (elapsed >= timeoutSeconds) {
            return Action.TIMED_OUT;
        }
        // Pinged after one and four times the wait, others asked after two and four.
        if (step == 0 && elapsed >= retrySeconds) {
            step = 1;
            return Action.RETRY_PING;
        }
        if (step == 1 && elapsed >= 2 * retrySeconds) {
            step = 2;
            return Action.PING_REQUEST;
        }
        if (step == 2 && elapsed >= 3 * retrySeconds) {
            step = 3;
            return Action.RETRY_PING;
        }
        if (step == 3 && elapsed >= 3.5 * retrySeconds) {
            step = 4;
            return Action.PING_REQUEST;
        }
        return Action.NONE;
    }
}
