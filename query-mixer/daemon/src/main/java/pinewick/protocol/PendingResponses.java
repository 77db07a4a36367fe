package pinewick.protocol;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.Limits;
import pinewick.state.InFlightAttempt;

/** The responses that a replica still has to send on one connection, by part, and the parts answered recently. */
final class PendingResponses {
    private static final class Expected {
        InFlightAttempt latest;
        int responseCount;
    }

    private final Limits limits;
    private final Map<String, Expected> expectedByPart = new LinkedHashMap<>();
    private final ArrayDeque<String> recentlyAnswered = new ArrayDeque<>();
    private boolean hasForgotten;

    PendingResponses(Limits limits) {
        this.limits = limits;
    }

    /** These attempts were written completely: a response is expected for each. */
    void onWritten(Iterable<InFlightAttempt> attempts) {
        for (InFlightAttempt attempt : attempts) {
            Expected expected = expectedByPart.computeIfAbsent(attempt.shardRequest.id, any -> new Expected());
            expected.latest = attempt;
            expected.responseCount++;
        }
        if (expectedByPart.size() > limits.maxPendingResponses()) {
            // An attempt that ended locally may never be answered; the memory kept for it must not grow without bound.
            hasForgotten |= expectedByPart.values().removeIf(each -> each.latest == null);
        }
    }

    /** The attempt has ended, for whatever reason. */
    void onAttemptEnd(InFlightAttempt attempt) {
        Expected expected = expectedByPart.get(attempt.shardRequest.id);
        if (expected != null && expected.latest == attempt) {
            // A response that never arrives would otherwise keep the query, and with it its client, in memory for as
            // long as the connection lives.
            expected.latest = null;
        }
    }

    /**
     * Whether a response for that part is expected, for an attempt that still waits for it or for one that has ended.
     */
    boolean isExpected(String part) {
        return expectedByPart.containsKey(part);
    }

    /** Whether a response for that part, which is not expected now, may have been expected before. */
    boolean mayHaveBeenExpected(String part) {
        return hasForgotten || recentlyAnswered.contains(part);
    }

    /** The attempt that waits for that part's response; null if none does. */
    InFlightAttempt waitingAttempt(String part) {
        Expected expected = expectedByPart.get(part);
        return expected == null ? null : expected.latest;
    }

    /**
     * Records a response for a part that expects one; returns the attempt that it ends, null if that has ended already.
     */
    InFlightAttempt onResponse(String part) {
        Expected expected = expectedByPart.get(part);
        if (--expected.responseCount == 0) {
            expectedByPart.remove(part);
            recentlyAnswered.add(part);
            if (recentlyAnswered.size() > limits.maxRememberedResponses()) {
                recentlyAnswered.poll();
            }
        }
        return expected.latest;
    }
}
