package pinewick.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks a trace against the rules that each router must keep by itself: rule 1 (exactly one final response in time,
 * and no part sent after it) and rule 3 (no new part to a replica once the grace period has passed since this router
 * learned that it is draining or gone).
 */
public final class RuleChecker {
    /** A breach of a rule, and the event that caused it. */
    public record Breach(int rule, String description, Trace.Event event) {
        @Override
        public String toString() {
            return "rule " + rule + ": " + description + ": " + event;
        }
    }

    private static final class Query {
        double deadline;
        boolean answered;
        boolean withdrawn;
        Trace.Event acceptance;
    }

    private final double graceSeconds;
    private final double slackSeconds;

    /**
     * @param graceSeconds seconds after which no new part may reach a replica that is draining or gone
     * @param slackSeconds seconds that clocks and sockets may add to the time that a client waits
     */
    public RuleChecker(double graceSeconds, double slackSeconds) {
        this.graceSeconds = graceSeconds;
        this.slackSeconds = slackSeconds;
    }

    /**
     * All breaches, in the order of their events; queries still open are checked against the time of the last event.
     */
    public List<Breach> judge(List<Trace.Event> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<String, Query> queries = new LinkedHashMap<>();
        Map<String, Double> drainKnownAt = new HashMap<>();
        for (Trace.Event each : events) {
            String query = each.router() + " " + each.query();
            Query known = queries.get(query);
            switch (each.kind()) {
                case TAKEN -> {
                    Query acceptance = new Query();
                    acceptance.acceptance = each;
                    acceptance.deadline = each.at() + Double.parseDouble(each.detail()) + slackSeconds;
                    queries.put(query, acceptance);
                }
                case ANSWERED -> {
                    if (known == null) {
                        breaches.add(new Breach(1, "a response to an unknown query", each));
                    } else if (known.answered) {
                        breaches.add(new Breach(1, "a second final response", each));
                    } else if (each.at() > known.deadline && !known.withdrawn) {
                        breaches.add(new Breach(1, "a response after the client's deadline", each));
                    }
                    if (known != null) {
                        known.answered = true;
                    }
                }
                case WITHDRAWN -> {
                    if (known != null) {
                        known.withdrawn = true;
                    }
                }
                case SENT -> {
                    if (known != null && known.answered) {
                        breaches.add(new Breach(1, "a part sent after the final response", each));
                    }
                    Double knownAt = drainKnownAt.get(each.router() + " " + each.replica());
                    if (knownAt != null && each.at() > knownAt + graceSeconds) {
                        breaches.add(new Breach(3, "a part sent after the grace period", each));
                    }
                }
                case TOLD -> {
                    String replica = each.router() + " " + each.replica();
                    if (each.detail().equals("ready")) {
                        drainKnownAt.remove(replica);
                    } else {
                        drainKnownAt.putIfAbsent(replica, each.at());
                    }
                }
                default -> {}
            }
        }
        double end = events.isEmpty() ? 0 : events.get(events.size() - 1).at();
        for (Query each : queries.values()) {
            if (!each.answered && !each.withdrawn && each.deadline < end) {
                breaches.add(new Breach(1, "no response", each.acceptance));
            }
        }
        return breaches;
    }

    /** Number of breaches of each rule. */
    public static Map<Integer, Integer> count(List<Breach> breaches) {
        Map<Integer, Integer> count = new TreeMap<>();
        breaches.forEach(each -> count.merge(each.rule(), 1, Integer::sum));
        return count;
    }
}
