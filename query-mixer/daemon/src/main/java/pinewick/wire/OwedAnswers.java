package pinewick.wire;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.Limits;
import pinewick.state.InFlightAttempt;

/** The answers that a searcher still owes on one connection, by part, and those that it has given of late. */
final class OwedAnswers {
    private static final class Owed {
        InFlightAttempt latest;
        int answers;
    }

    private final Limits limits;
    private final Map<String, Owed> owedByPart = new LinkedHashMap<>();
    private final ArrayDeque<String> given = new ArrayDeque<>();
    private boolean forgot;

    OwedAnswers(Limits limits) {
        this.limits = limits;
    }

    /** These were written whole: each is owed an answer. */
    void written(Iterable<InFlightAttempt> launches) {
        for (InFlightAttempt launch : launches) {
            Owed owed = owedByPart.computeIfAbsent(launch.shardRequest.id, any -> new Owed());
            owed.latest = launch;
            owed.answers++;
        }
        if (owedByPart.size() > limits.answersOwed()) {
            // What was given up may never be answered; its memory must not grow with that.
            forgot |= owedByPart.values().removeIf(each -> each.latest == null);
        }
    }

    /** A launch is over, for whatever reason. */
    void over(InFlightAttempt launch) {
        Owed owed = owedByPart.get(launch.shardRequest.id);
        if (owed != null && owed.latest == launch) {
            // Danger: an answer that never comes would keep its query, and with that its client, as long as the link.
            owed.latest = null;
        }
    }

    /** Whether an answer for that part is owed, to a launch that waits for it or to one that is over. */
    boolean owes(String part) {
        return owedByPart.containsKey(part);
    }

    /** Whether an answer for that part, which is not owed, may have been owed before. */
    boolean mayHaveOwed(String part) {
        return forgot || given.contains(part);
    }

    /** The launch that waits for that part's answer; null if none does. */
    InFlightAttempt launch(String part) {
        Owed owed = owedByPart.get(part);
        return owed == null ? null : owed.latest;
    }

    /** Takes an answer for a part that is owed one; returns the launch that it ends, null if that is over. */
    InFlightAttempt answered(String part) {
        Owed owed = owedByPart.get(part);
        if (--owed.answers == 0) {
            owedByPart.remove(part);
            given.add(part);
            if (given.size() > limits.answersRemembered()) {
                given.poll();
            }
        }
        return owed.latest;
    }
}
