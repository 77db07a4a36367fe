package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.model.ConfigurationDocument;

/** Checks every configuration in force, and every response to an operator, against the invariants. */
final class HistoryChecker {
    private enum Response {
        NONE,
        ACCEPTED,
        REJECTED
    }

    private final List<SubmittedChange> changes = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    private final Map<Long, ConfigurationDocument> inForce = new HashMap<>();
    private final Map<Long, Long> successors = new HashMap<>();
    private final CallHistory calls = new CallHistory();
    private long newestAcknowledged;
    private long newestInForce;
    private int acknowledged;
    private int rejected;
    private int reads;

    HistoryChecker() {
        inForce.put(0L, ConfigurationDocument.EMPTY);
    }

    SubmittedChange create(boolean replacesAll, long base, long version, boolean wellFormed, int paddingBytes) {
        Optional<String> routedService = Optional.ofNullable(inForce.get(base)).flatMap(HistoryChecker::anyService);
        SubmittedChange change = SubmittedChange.create(
                changes.size(), replacesAll, base, version, wellFormed, paddingBytes, routedService);
        changes.add(change);
        responses.add(Response.NONE);
        return change;
    }

    private static Optional<String> anyService(ConfigurationDocument document) {
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

    int rejected() {
        return rejected;
    }

    int reads() {
        return reads;
    }

    /** The requests with a response, in the order of their arrivals and responses. */
    CallHistory calls() {
        return calls;
    }

    /** A process considers a document to be in force. */
    void onInForce(String host, ConfigurationDocument document) {
        ConfigurationDocument known = inForce.get(document.version());
        if (known != null) {
            require(
                    known == document || known.equals(document),
                    Invariant.ONE_SUCCESSOR,
                    host + ": two documents with version " + document.version());
            return;
        }
        SubmittedChange change = changes.get(SubmittedChange.idOf(document));
        String description = host + ": change " + change.id();
        require(
                change.version() == document.version(),
                Invariant.AS_SENT,
                description + " is in force under another version");
        require(change.valid(), Invariant.AS_SENT, description + " is invalid and in force");
        require(
                responses.get(change.id()) != Response.REJECTED,
                Invariant.REJECTED_STAYS_OUT,
                description + " was rejected and is in force");
        Long sibling = successors.put(change.base(), change.version());
        require(
                sibling == null,
                Invariant.ONE_SUCCESSOR,
                description + " and version " + sibling + " are both based on version " + change.base());
        ConfigurationDocument base = inForce.get(change.base());
        require(
                base != null,
                Invariant.AS_SENT,
                description + " is based on a version that was never in force, " + change.base());
        require(change.applyTo(base).equals(document), Invariant.AS_SENT, description + " differs from what was sent");
        inForce.put(document.version(), document);
        newestInForce = Math.max(newestInForce, document.version());
    }

    private boolean isInForce(SubmittedChange change) {
        ConfigurationDocument document = inForce.get(change.version());
        return document != null && document.version() > 0 && SubmittedChange.idOf(document) == change.id();
    }

    /** A controller acknowledges a change: the response is sent now, whether or not it arrives. */
    void onAcknowledged(String host, SubmittedChange change) {
        String description = host + ": change " + change.id();
        require(
                isInForce(change),
                Invariant.ACKNOWLEDGED_IS_DURABLE,
                description + " is acknowledged but not in force");
        require(
                responses.get(change.id()) != Response.REJECTED,
                Invariant.REJECTED_STAYS_OUT,
                description + " was rejected and is acknowledged");
        responses.set(change.id(), Response.ACCEPTED);
        newestAcknowledged = Math.max(newestAcknowledged, change.version());
        acknowledged++;
    }

    /** A controller rejects a change. */
    void onRejected(String host, SubmittedChange change, int status) {
        String description = host + ": change " + change.id() + " on version " + change.base();
        require(!isInForce(change), Invariant.NOT_WRONGLY_REJECTED, description + " is in force but gets " + status);
        require(
                responses.get(change.id()) != Response.ACCEPTED,
                Invariant.NOT_WRONGLY_REJECTED,
                description + " was acknowledged but gets " + status);
        boolean isAcceptable = change.valid() && change.base() == newestInForce;
        require(
                !isAcceptable,
                Invariant.NOT_WRONGLY_REJECTED,
                description + " is valid for the newest version but gets " + status);
        responses.set(change.id(), Response.REJECTED);
        rejected++;
    }

    /** A controller responds to a read. */
    void onRead(String host, ConfigurationDocument document) {
        ConfigurationDocument known = inForce.get(document.version());
        require(
                document.equals(known),
                Invariant.AS_SENT,
                host + ": a read returned a document that was never in force, version " + document.version());
        reads++;
    }

    /** The changes in force, in order, without the empty configuration. */
    List<SubmittedChange> chain() {
        List<SubmittedChange> chain = new ArrayList<>();
        long version = 0;
        while (successors.containsKey(version)) {
            version = successors.get(version);
            chain.add(changes.get(SubmittedChange.idOf(inForce.get(version))));
        }
        return chain;
    }
}
