package pinewick.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pinewick.model.ConfigurationDocument;

/** Reads that wait for the epoch to be confirmed. */
final class ReadQueue {
    private static final long NOT_ASKED = Long.MAX_VALUE;

    private record Waiter(double deadlineMs, long round, Consumer<ReadOutcome> callback) {}

    private final List<Waiter> waiters = new ArrayList<>();

    void add(double deadlineMs, Consumer<ReadOutcome> callback) {
        waiters.add(new Waiter(deadlineMs, NOT_ASKED, callback));
    }

    /** Whether some read waits for a round that has not been begun. */
    boolean wantsRound() {
        return waiters.stream().anyMatch(waiter -> waiter.round == NOT_ASKED);
    }

    /** A round has begun. */
    void asked(long round) {
        waiters.replaceAll(
                waiter -> waiter.round == NOT_ASKED ? new Waiter(waiter.deadlineMs, round, waiter.callback) : waiter);
    }

    /** Rounds up to this one are confirmed; the document is the newest committed one. */
    void confirmed(long round, ConfigurationDocument document) {
        for (Waiter waiter : List.copyOf(waiters)) {
            if (waiter.round <= round) {
                waiters.remove(waiter);
                waiter.callback.accept(new ReadOutcome.Current(document));
            }
        }
    }

    /** A new epoch numbers its rounds anew. */
    void restart() {
        waiters.replaceAll(waiter -> new Waiter(waiter.deadlineMs, NOT_ASKED, waiter.callback));
    }

    void expire(double nowMs) {
        for (Waiter waiter : List.copyOf(waiters)) {
            if (waiter.deadlineMs <= nowMs) {
                waiters.remove(waiter);
                waiter.callback.accept(new ReadOutcome.Unavailable("not confirmed in time"));
            }
        }
    }

    /** This process leads no more. */
    void abandon(ReadOutcome.NotPrimary outcome) {
        List<Waiter> all = List.copyOf(waiters);
        waiters.clear();
        all.forEach(waiter -> waiter.callback.accept(outcome));
    }
}
