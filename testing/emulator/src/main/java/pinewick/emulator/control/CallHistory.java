package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;

/** The order in which requests arrived at controllers and in which their responses were sent. */
final class CallHistory {
    /** The outcome of a request, if it got a response. */
    enum Outcome {
        /** No definite outcome. */
        NONE,
        /** The configuration had this version. */
        READ,
        /** The current version differed from the base of the change. */
        CONFLICT,
        /** The change was invalid for the current version. */
        INVALID
    }

    /** One request, from its arrival at the controller that responds to it. */
    static final class Call {
        private final SubmittedChange change;
        private Outcome outcome = Outcome.NONE;
        private long version;

        private Call(SubmittedChange change) {
            this.change = change;
        }

        SubmittedChange change() {
            return change;
        }

        Outcome outcome() {
            return outcome;
        }

        long version() {
            return version;
        }
    }

    /** One event of the history. */
    sealed interface Event {}

    /** A change was sent for the first time. */
    record FirstSent(SubmittedChange change) implements Event {}

    /** A change was acknowledged. */
    record Acknowledged(SubmittedChange change) implements Event {}

    /** A request arrived. */
    record Received(Call call) implements Event {}

    /** The response to a request was sent. */
    record Answered(Call call) implements Event {}

    private final List<Event> events = new ArrayList<>();

    List<Event> events() {
        return events;
    }

    void onFirstSent(SubmittedChange change) {
        events.add(new FirstSent(change));
    }

    void onAcknowledged(SubmittedChange change) {
        events.add(new Acknowledged(change));
    }

    /** A request arrives at a controller; the change is null for a read. */
    Call onReceived(SubmittedChange change) {
        Call call = new Call(change);
        events.add(new Received(call));
        return call;
    }

    void onAnswered(Call call, Outcome outcome, long version) {
        call.outcome = outcome;
        call.version = version;
        events.add(new Answered(call));
    }
}
