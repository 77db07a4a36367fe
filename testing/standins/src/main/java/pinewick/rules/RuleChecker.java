package pinewick.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges a trace by the rules that one mixer alone must keep. Known here: rule 1 (one final answer in time, nothing
 * sent after it) and rule 3 (nothing new to a searcher past the grace after this mixer was told).
 */
public final class RuleChecker {
    /** A rule that was broken, and by which event. */
    public record Breach(int rule, String what, Trace.Event event) {
        @Override
        public String toString() {
            return "rule " + rule + ": " + what + ": " + event;
        }
    }

    private static final class Query {
        double until;
        boolean answered;
        boolean left;
        Trace.Event taken;
    }

    private final double grace;
    private final double slack;

    /**
     * @param grace seconds after which nothing new may reach a searcher that drains or is gone
     * @param slack seconds that clocks and sockets may add to a client's time
     */
    public RuleChecker(double grace, double slack) {
        this.grace = grace;
        this.slack = slack;
    }

    /**
     * All breaches, in the order of their events; queries still open at the trace's end are judged by its last time.
     */
    public List<Breach> judge(List<Trace.Event> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<String, Query> queries = new LinkedHashMap<>();
        Map<String, Double> toldAt = new HashMap<>();
        for (Trace.Event each : events) {
            String query = each.mixer() + " " + each.query();
            Query known = queries.get(query);
            switch (each.kind()) {
                case TAKEN -> {
                    Query taken = new Query();
                    taken.taken = each;
                    taken.until = each.at() + Double.parseDouble(each.detail()) + slack;
                    queries.put(query, taken);
                }
                case ANSWERED -> {
                    if (known == null) {
                        breaches.add(new Breach(1, "an answer to a query never taken", each));
                    } else if (known.answered) {
                        breaches.add(new Breach(1, "a second final answer", each));
                    } else if (each.at() > known.until && !known.left) {
                        breaches.add(new Breach(1, "an answer after the client's time", each));
                    }
                    if (known != null) {
                        known.answered = true;
                    }
                }
                case WITHDRAWN -> {
                    if (known != null) {
                        known.left = true;
                    }
                }
                case SENT -> {
                    if (known != null && known.answered) {
                        breaches.add(new Breach(1, "a part sent after the final answer", each));
                    }
                    Double told = toldAt.get(each.mixer() + " " + each.searcher());
                    if (told != null && each.at() > told + grace) {
                        breaches.add(new Breach(3, "a part sent past the grace", each));
                    }
                }
                case TOLD -> {
                    String searcher = each.mixer() + " " + each.searcher();
                    if (each.detail().equals("ready")) {
                        toldAt.remove(searcher);
                    } else {
                        toldAt.putIfAbsent(searcher, each.at());
                    }
                }
                default -> {}
            }
        }
        double end = events.isEmpty() ? 0 : events.get(events.size() - 1).at();
        for (Query each : queries.values()) {
            if (!each.answered && !each.left && each.until < end) {
                breaches.add(new Breach(1, "no answer", each.taken));
            }
        }
        return breaches;
    }

    /** How many breaches of each rule. */
    public static Map<Integer, Integer> count(List<Breach> breaches) {
        Map<Integer, Integer> count = new TreeMap<>();
        breaches.forEach(each -> count.merge(each.rule(), 1, Integer::sum));
        return count;
    }
}
