package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pinewick.emulator.control.CallHistory.Acknowledged;
import pinewick.emulator.control.CallHistory.Answered;
import pinewick.emulator.control.CallHistory.Call;
import pinewick.emulator.control.CallHistory.CameIn;
import pinewick.emulator.control.CallHistory.Event;
import pinewick.emulator.control.CallHistory.Finding;
import pinewick.emulator.control.CallHistory.FirstSent;

/**
 * Whether a history of calls fits a compare-and-set register with versions, after Wing and Gong (1993). The changes
 * in force form a chain, so their order is known; what is searched for is when each took effect. A candidate is how far
 * the register has come and which of the calls under way have found what they answered; the candidates are carried from
 * event to event, and a history fits while one is left.
 */
final class LinearizabilityChecker {
    private static final int MOST_CALLS = 64;

    private final List<ChangeOrder> chain;
    private final Map<Integer, Integer> placeOfMark = new HashMap<>();
    private final Set<Integer> sentMarks = new HashSet<>();
    private final Map<Call, Integer> slots = new HashMap<>();
    private TreeMap<Integer, Set<Long>> candidates = new TreeMap<>();
    private long slotsTaken;

    private LinearizabilityChecker(List<ChangeOrder> chain) {
        this.chain = chain;
        for (int place = 0; place < chain.size(); place++) {
            placeOfMark.put(chain.get(place).mark(), place + 1);
        }
        candidates.put(0, new HashSet<>(Set.of(0L)));
    }

    /** Checks a history. */
    static void check(CallHistory history, List<ChangeOrder> chain) {
        LinearizabilityChecker checker = new LinearizabilityChecker(chain);
        for (Event event : history.events()) {
            checker.on(event);
        }
    }

    private void on(Event event) {
        if (event instanceof FirstSent sent) {
            sentMarks.add(sent.change().mark());
            advance();
        } else if (event instanceof CameIn begun && begun.call().finding() != Finding.NONE) {
            begin(begun.call());
        } else if (event instanceof Answered ended) {
            end(ended.call());
        } else if (event instanceof Acknowledged acknowledged) {
            acknowledge(acknowledged.change());
        }
    }

    private void begin(Call call) {
        int slot = Long.numberOfTrailingZeros(~slotsTaken);
        if (slot >= MOST_CALLS) {
            throw new IllegalStateException("more than " + MOST_CALLS + " calls at once");
        }
        slotsTaken |= 1L << slot;
        slots.put(call, slot);
        TreeMap<Integer, Set<Long>> next = new TreeMap<>();
        candidates.forEach((place, found) -> next.put(place, withFindings(place, found)));
        candidates = next;
        advance();
    }

    private void end(Call call) {
        int slot = slots.remove(call);
        long bit = 1L << slot;
        TreeMap<Integer, Set<Long>> next = new TreeMap<>();
        candidates.forEach((place, all) -> {
            Set<Long> left = new HashSet<>();
            all.stream().filter(found -> (found & bit) != 0).forEach(found -> left.add(found & ~bit));
            if (!left.isEmpty()) {
                next.put(place, left);
            }
        });
        slotsTaken &= ~bit;
        candidates = next;
        require(!candidates.isEmpty(), Invariant.LINEARIZABLE, "no order of the changes fits " + describe(call));
    }

    private void acknowledge(ChangeOrder change) {
        Integer place = placeOfMark.get(change.mark());
        require(place != null, Invariant.ACKNOWLEDGED_IS_KEPT, "change " + change.mark() + " is not in the chain");
        candidates = new TreeMap<>(candidates.tailMap(place, true));
        require(
                !candidates.isEmpty(),
                Invariant.LINEARIZABLE,
                "change " + change.mark() + " was acknowledged before it can have taken effect");
    }

    /** The register may go on by any change that was sent. */
    private void advance() {
        for (int place = candidates.firstKey(); place < chain.size(); place++) {
            Set<Long> here = candidates.get(place);
            if (here == null || !sentMarks.contains(chain.get(place).mark())) {
                if (here == null && candidates.higherKey(place) == null) {
                    return;
                }
                continue;
            }
            Set<Long> there = candidates.computeIfAbsent(place + 1, key -> new HashSet<>());
            there.addAll(withFindings(place + 1, here));
            dropDominated(there);
        }
    }

    private Set<Long> withFindings(int place, Set<Long> all) {
        long bits = 0;
        for (Map.Entry<Call, Integer> entry : slots.entrySet()) {
            if (fits(entry.getKey(), place)) {
                bits |= 1L << entry.getValue();
            }
        }
        Set<Long> extended = new HashSet<>();
        for (long found : all) {
            extended.add(found | bits);
        }
        return extended;
    }

    private static void dropDominated(Set<Long> all) {
        if (all.size() > 1) {
            List<Long> copy = new ArrayList<>(all);
            all.removeIf(one -> copy.stream().anyMatch(other -> other != one && (one & other) == one));
        }
    }

    /** Whether a call would have found what it answered, had it looked with the register at this place. */
    private boolean fits(Call call, int place) {
        long current = place == 0 ? 0 : chain.get(place - 1).version();
        return switch (call.finding()) {
            case READ -> call.version() == current;
            case CONFLICT -> call.change().base() != current;
            case INVALID -> !call.change().valid() || call.change().version() <= current;
            case NONE -> true;
        };
    }

    private static String describe(Call call) {
        String what = call.change() == null
                ? ""
                : " of change " + call.change().mark() + " upon "
                        + call.change().base();
        return call.finding() + what + (call.finding() == Finding.READ ? " of version " + call.version() : "");
    }
}
