package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;

/** When calls came in at controllers and when their answers left, in order. */
final class CallHistory {
    /** What a call found out, if it was answered. */
    enum Finding {
        /** No clear answer. */
        NONE,
        /** The configuration had this version. */
        READ,
        /** Another version than the change's base was current. */
        CONFLICT,
        /** The change was invalid upon the current version. */
        INVALID
    }

    /** One call, from when it came in at the controller that answered it. */
    static final class Call {
        private final ChangeOrder change;
        private Finding finding = Finding.NONE;
        private long version;

        private Call(ChangeOrder change) {
            this.change = change;
        }

        ChangeOrder change() {
            return change;
        }

        Finding finding() {
            return finding;
        }

        long version() {
            return version;
        }
    }

    /** What happened at one moment. */
    sealed interface Event {}

    /** A change was sent for the first time. */
    record FirstSent(ChangeOrder change) implements Event {}

    /** A change was acknowledged. */
    record Acknowledged(ChangeOrder change) implements Event {}

    /** A call came in. */
    record CameIn(Call call) implements Event {}

    /** The answer to a call left. */
    record Answered(Call call) implements Event {}

    private final List<Event> events = new ArrayList<>();

    List<Event> events() {
        return events;
    }

    void firstSent(ChangeOrder change) {
        events.add(new FirstSent(change));
    }

    void acknowledged(ChangeOrder change) {
        events.add(new Acknowledged(change));
    }

    /** A call comes in at a controller; the change is null for a read. */
    Call cameIn(ChangeOrder change) {
        Call call = new Call(change);
        events.add(new CameIn(call));
        return call;
    }

    void answered(Call call, Finding finding, long version) {
        call.finding = finding;
        call.version = version;
        events.add(new Answered(call));
    }
}
