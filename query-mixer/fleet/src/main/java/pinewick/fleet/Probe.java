package pinewick.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * A direct probe of a member with its retries: ping, ping again, request indirect probes, ping again, request
 * indirect probes again, then time out. Silence counts from the first ping, so a long probe timeout does not delay
 * detection; it only keeps lost datagrams from raising suspicion.
 */
final class Probe {
    /** Next step of a probe. */
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
    /** Indexes of the members that probed the target indirectly without an answer. */
    final List<Integer> failedHelpers = new ArrayList<>();

    /** @param timeoutMultiplier factor for the timeouts, from this router's local health */
    Probe(int target, int number, double now, MembershipSettings settings, double timeoutMultiplier) {
        this.target = target;
        this.number = number;
        startedAt = now;
        retrySeconds = settings.pingRetrySeconds() * timeoutMultiplier;
        timeoutSeconds = settings.probeTimeoutSeconds() * timeoutMultiplier;
    }

    /** Returns the step that is due now; each step is returned once. */
    Action nextAction(double now) {
        double elapsed = now - startedAt;
        if (elapsed >= timeoutSeconds) {
            return Action.TIMED_OUT;
        }
        // Pings after one and three times the retry interval, indirect probes after two and three and a half
        // times.
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
