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
import pinewick.emulator.control.CallHistory.Event;
import pinewick.emulator.control.CallHistory.FirstSent;
import pinewick.emulator.control.CallHistory.Outcome;
import pinewick.emulator.control.CallHistory.Received;

/**
 * Checks whether a history of requests is linearizable as a compare-and-set register with versions, after Wing and Gong
 * (1993). The changes in force form a chain, so their order is known; the search determines when each took effect. A
 * candidate consists of the position of the register in the chain and the set of concurrent requests that could have
 * taken effect by then. The candidates are updated event by event, and the history is linearizable as long as at least
 * one remains.
 */
final class LinearizabilityChecker {
    private static final int MAX_CONCURRENT_CALLS = 64;

    private final List<SubmittedChange> chain;
    private final Map<Integer, Integer> positionOfChange = new HashMap<>();
    private final Set<Integer> sentChanges = new HashSet<>();
    private final Map<Call, Integer> slots = new HashMap<>();
    private TreeMap<Integer, Set<Long>> candidates = new TreeMap<>();
    private long usedSlots;

    private LinearizabilityChecker(List<SubmittedChange> chain) {
        this.chain = chain;
        for (int position = 0; position < chain.size(); position++) {
            positionOfChange.put(chain.get(position).id(), position + 1);
        }
        candidates.put(0, new HashSet<>(Set.of(0L)));
    }

    /** Checks a history. */
    static void check(CallHistory history, List<SubmittedChange> chain) {
        LinearizabilityChecker checker = new LinearizabilityChecker(chain);
        for (Event event : history.events()) {
            checker.apply(event);
        }
    }

    private void apply(Event event) {
        if (event instanceof FirstSent sent) {
            sentChanges.add(sent.change().id());
            advance();
        } else if (event instanceof Received received && received.call().outcome() != Outcome.NONE) {
            begin(received.call());
        } else if (event instanceof Answered answered) {
            complete(answered.call());
        } else if (event instanceof Acknowledged acknowledged) {
            acknowledge(acknowledged.change());
        }
    }

    private void begin(Call call) {
        int slot = Long.numberOfTrailingZeros(~usedSlots);
        if (slot >= MAX_CONCURRENT_CALLS) {
            throw new IllegalStateException("more than " + MAX_CONCURRENT_CALLS + " calls at once");
        }
        usedSlots |= 1L << slot;
        slots.put(call, slot);
        TreeMap<Integer, Set<Long>> next = new TreeMap<>();
        candidates.forEach((position, matchSets) -> next.put(position, withMatches(position, matchSets)));
        candidates = next;
        advance();
    }

    private void complete(Call call) {
        int slot = slots.remove(call);
        long bit = 1L << slot;
        TreeMap<Integer, Set<Long>> next = new TreeMap<>();
        candidates.forEach((position, matchSets) -> {
            Set<Long> remaining = new HashSet<>();
            matchSets.stream()
                    .filter(matched -> (matched & bit) != 0)
                    .forEach(matched -> remaining.add(matched & ~bit));
            if (!remaining.isEmpty()) {
                next.put(position, remaining);
            }
        });
        usedSlots &= ~bit;
        candidates = next;
        require(!candidates.isEmpty(), Invariant.LINEARIZABLE, "no linearization explains " + describe(call));
    }

    private void acknowledge(SubmittedChange change) {
        Integer position = positionOfChange.get(change.id());
        require(position != null, Invariant.ACKNOWLEDGED_IS_DURABLE, "change " + change.id() + " is not in the chain");
        candidates = new TreeMap<>(candidates.tailMap(position, true));
        require(
                !candidates.isEmpty(),
                Invariant.LINEARIZABLE,
                "change " + change.id() + " was acknowledged before it could have taken effect");
    }

    /** The register may advance over any change that was sent. */
    private void advance() {
        for (int position = candidates.firstKey(); position < chain.size(); position++) {
            Set<Long> current = candidates.get(position);
            if (current == null || !sentChanges.contains(chain.get(position).id())) {
                if (current == null && candidates.higherKey(position) == null) {
                    return;
                }
                continue;
            }
            Set<Long> following = candidates.computeIfAbsent(position + 1, key -> new HashSet<>());
            following.addAll(withMatches(position + 1, current));
            dropDominated(following);
        }
    }

    private Set<Long> withMatches(int position, Set<Long> matchSets) {
        long bits = 0;
        for (Map.Entry<Call, Integer> entry : slots.entrySet()) {
            if (matches(entry.getKey(), position)) {
                bits |= 1L << entry.getValue();
            }
        }
        Set<Long> extended = new HashSet<>();
        for (long matched : matchSets) {
            extended.add(matched | bits);
        }
        return extended;
    }

    private static void dropDominated(Set<Long> matchSets) {
        if (matchSets.size() > 1) {
            List<Long> copy = new ArrayList<>(matchSets);
            matchSets.removeIf(
                    matched -> copy.stream().anyMatch(other -> !other.equals(matched) && (matched & other) == matched));
        }
    }

    /** Whether a request would have had its outcome if it took effect with the register at this position. */
    private boolean matches(Call call, int position) {
        long current = position == 0 ? 0 : chain.get(position - 1).version();
        return switch (call.outcome()) {
            case READ -> call.version() == current;
            case CONFLICT -> call.change().base() != current;
            case INVALID -> !call.change().valid() || call.change().version() <= current;
            case NONE -> true;
        };
    }

    private static String describe(Call call) {
        String change = call.change() == null
                ? ""
                : " for change " + call.change().id() + " on version "
                        + call.change().base();
        return call.outcome() + change + (call.outcome() == Outcome.READ ? " of version " + call.version() : "");
    }
}
