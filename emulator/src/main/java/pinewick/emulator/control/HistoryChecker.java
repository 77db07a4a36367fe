package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.model.ConfigurationDocument;

/** Holds every configuration in force, and every answer to an operator, against what must hold. */
final class HistoryChecker {
    private enum Answer {
        NONE,
        ACCEPTED,
        REFUSED
    }

    private final List<ChangeOrder> changes = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final Map<Long, ConfigurationDocument> inForce = new HashMap<>();
    private final Map<Long, Long> successors = new HashMap<>();
    private final CallHistory calls = new CallHistory();
    private long newestAcknowledged;
    private long newestInForce;
    private int acknowledged;
    private int refused;
    private int reads;

    HistoryChecker() {
        inForce.put(0L, ConfigurationDocument.EMPTY);
    }

    ChangeOrder make(boolean whole, long base, long version, boolean wellFormed, int paddingBytes) {
        Optional<String> routed = Optional.ofNullable(inForce.get(base)).flatMap(HistoryChecker::someService);
        ChangeOrder change = ChangeOrder.make(changes.size(), whole, base, version, wellFormed, paddingBytes, routed);
        changes.add(change);
        answers.add(Answer.NONE);
        return change;
    }

    private static Optional<String> someService(ConfigurationDocument document) {
        return document.sections().getOrDefault("services", Map.of()).keySet().stream()
                .findFirst();
    }

    long newestAcknowledged() {
        return newestAcknowledged;
    }

    long newestInForce() {
        return newestInForce;
    }

    int acknowledged() {
        return acknowledged;
    }

    int refused() {
        return refused;
    }

    int reads() {
        return reads;
    }

    /** The answered calls, in the order of their beginnings and ends. */
    CallHistory calls() {
        return calls;
    }

    /** Some process takes a document to be in force. */
    void inForceAt(String where, ConfigurationDocument document) {
        ConfigurationDocument known = inForce.get(document.version());
        if (known != null) {
            require(
                    known == document || known.equals(document),
                    Invariant.ONE_SUCCESSOR,
                    where + ": two contents of version " + document.version());
            return;
        }
        ChangeOrder change = changes.get(ChangeOrder.markOf(document));
        String what = where + ": change " + change.mark();
        require(change.version() == document.version(), Invariant.AS_SENT, what + " under another version");
        require(change.valid(), Invariant.AS_SENT, what + " is invalid and in force");
        require(
                answers.get(change.mark()) != Answer.REFUSED,
                Invariant.REFUSED_STAYS_OUT,
                what + " was refused and is in force");
        Long before = successors.put(change.base(), change.version());
        require(
                before == null,
                Invariant.ONE_SUCCESSOR,
                what + " and version " + before + " both build upon version " + change.base());
        ConfigurationDocument base = inForce.get(change.base());
        require(base != null, Invariant.AS_SENT, what + " builds upon a version that never was, " + change.base());
        require(change.applyTo(base).equals(document), Invariant.AS_SENT, what + " is not what was sent");
        inForce.put(document.version(), document);
        newestInForce = Math.max(newestInForce, document.version());
    }

    private boolean isInForce(ChangeOrder change) {
        ConfigurationDocument document = inForce.get(change.version());
        return document != null && document.version() > 0 && ChangeOrder.markOf(document) == change.mark();
    }

    /** A controller acknowledges a change: the answer leaves it now, whether or not it arrives. */
    void acknowledges(String where, ChangeOrder change) {
        String what = where + ": change " + change.mark();
        require(isInForce(change), Invariant.ACKNOWLEDGED_IS_KEPT, what + " is acknowledged and not in force");
        require(
                answers.get(change.mark()) != Answer.REFUSED,
                Invariant.REFUSED_STAYS_OUT,
                what + " was refused and is acknowledged");
        answers.set(change.mark(), Answer.ACCEPTED);
        newestAcknowledged = Math.max(newestAcknowledged, change.version());
        acknowledged++;
    }

    /** A controller refuses a change. */
    void refuses(String where, ChangeOrder change, int status) {
        String what = where + ": change " + change.mark() + " upon " + change.base();
        require(!isInForce(change), Invariant.NOT_WRONGLY_REFUSED, what + " is in force and gets " + status);
        require(
                answers.get(change.mark()) != Answer.ACCEPTED,
                Invariant.NOT_WRONGLY_REFUSED,
                what + " was acknowledged and gets " + status);
        boolean proper = change.valid() && change.base() == newestInForce;
        require(!proper, Invariant.NOT_WRONGLY_REFUSED, what + " is valid upon the newest version and gets " + status);
        answers.set(change.mark(), Answer.REFUSED);
        refused++;
    }

    /** A controller answers a read. */
    void reads(String where, ConfigurationDocument document) {
        ConfigurationDocument known = inForce.get(document.version());
        require(
                document.equals(known),
                Invariant.AS_SENT,
                where + ": read what was never in force, version " + document.version());
        reads++;
    }

    /** The changes in force, one upon the other, the empty configuration left out. */
    List<ChangeOrder> chain() {
        List<ChangeOrder> chain = new ArrayList<>();
        long version = 0;
        while (successors.containsKey(version)) {
            version = successors.get(version);
            chain.add(changes.get(ChangeOrder.markOf(inForce.get(version))));
        }
        return chain;
    }
}
