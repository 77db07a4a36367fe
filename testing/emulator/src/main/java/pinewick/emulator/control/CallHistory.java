package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;

/** When requests arrived at controllers and when their responses were sent, in order. */
final class CallHistory {
    /** The result of a request, if it was answered. */
    enum Outcome {
        /** No definite result. */
        NONE,
        /** The configuration had this version. */
        READ,
        /** Another version than the change's base was current. */
        CONFLICT,
        /** The change was invalid for the current version. */
        INVALID
    }

    /** One request, since it arrived at the controller that answered it. */
    static final class Call {
        private final SubmittedChange change;
        private Outcome finding = Outcome.NONE;
        private long version;

        private Call(SubmittedChange change) {
            this.change = change;
        }

        SubmittedChange change() {
            return change;
        }

        Outcome finding() {
            return finding;
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

    void onAnswered(Call call, Outcome finding, long version) {
        call.finding = finding;
        call.version = version;
        events.add(new Answered(call));
    }
}
