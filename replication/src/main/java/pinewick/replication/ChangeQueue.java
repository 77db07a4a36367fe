package pinewick.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Changes that were submitted here and are not decided. The same change sent again joins the one that is under way.
 */
final class ChangeQueue {
    private static final long NOT_ASKED = Long.MAX_VALUE;

    /** By what two sendings are known to be the same. */
    private record Identity(long baseVersion, String digest) {}

    private record Waiter(double deadlineMs, Consumer<ChangeOutcome> callback) {}

    /** One change and whoever waits for it. */
    static final class Entry {
        private final ConfigurationChange change;
        private final Identity identity;
        private final List<Waiter> waiters = new ArrayList<>();

        private Entry(ConfigurationChange change, Identity identity) {
            this.change = change;
            this.identity = identity;
        }

        ConfigurationChange change() {
            return change;
        }

        String digest() {
            return identity.digest;
        }
    }

    private record Decided(Entry entry, ChangeOutcome outcome, long round) {}

    private final Map<Identity, Entry> entries = new HashMap<>();
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final List<Decided> decided = new ArrayList<>();
    private Optional<Entry> inFlight = Optional.empty();

    void add(ConfigurationChange change, double deadlineMs, Consumer<ChangeOutcome> callback) {
        Identity identity = new Identity(change.baseVersion(), ChangeKey.digestOf(change));
        Entry entry = entries.get(identity);
        if (entry == null) {
            entry = new Entry(change, identity);
            entries.put(identity, entry);
            waiting.add(entry);
        }
        entry.waiters.add(new Waiter(deadlineMs, callback));
    }

    /** The next change to decide upon, taken out of the line. */
    Optional<Entry> next() {
        return Optional.ofNullable(waiting.poll());
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** It is being replicated. */
    void replicating(Entry entry) {
        inFlight = Optional.of(entry);
    }

    /**
     * It will be answered once a round that begins after this has been confirmed. The same change sent later does not
     * join it, as that round may have begun before it came.
     */
    void answerOnceConfirmed(Entry entry, ChangeOutcome outcome) {
        entries.remove(entry.identity, entry);
        decided.add(new Decided(entry, outcome, NOT_ASKED));
    }

    /** Whether some answer waits for a round that has not been begun. */
    boolean wantsRound() {
        return decided.stream().anyMatch(answer -> answer.round == NOT_ASKED);
    }

    /** A round has begun. */
    void asked(long round) {
        decided.replaceAll(
                answer -> answer.round == NOT_ASKED ? new Decided(answer.entry, answer.outcome, round) : answer);
    }

    /** A new epoch of this process: what was decided upon and not answered is decided upon again. */
    void restart() {
        decided.forEach(answer -> requeue(answer.entry));
        decided.clear();
    }

    private void requeue(Entry entry) {
        Entry sentLater = entries.putIfAbsent(entry.identity, entry);
        if (sentLater == null) {
            waiting.addFirst(entry);
        } else {
            sentLater.waiters.addAll(entry.waiters);
        }
    }

    /** The round is confirmed: what was decided before it may be told. */
    void confirmed(long round) {
        for (Decided answer : List.copyOf(decided)) {
            if (answer.round <= round) {
                decided.remove(answer);
                end(answer.entry, answer.outcome);
            }
        }
    }

    /** A state is committed: the change under way is in it, or has to be decided upon again. */
    void committed(ConfigurationState state) {
        if (inFlight.isEmpty()) {
            return;
        }
        Entry entry = inFlight.get();
        inFlight = Optional.empty();
        state.changes()
                .versionOf(entry.identity.baseVersion, entry.identity.digest)
                .ifPresentOrElse(
                        version -> end(entry, new ChangeOutcome.Accepted(version)), () -> waiting.addFirst(entry));
    }

    void end(Entry entry, ChangeOutcome outcome) {
        entries.remove(entry.identity, entry);
        entry.waiters.forEach(waiter -> waiter.callback.accept(outcome));
    }

    /** Whoever has waited too long is told that the outcome is unknown. */
    void expire(double nowMs) {
        for (Entry entry : unanswered()) {
            for (Waiter waiter : List.copyOf(entry.waiters)) {
                if (waiter.deadlineMs <= nowMs) {
                    entry.waiters.remove(waiter);
                    waiter.callback.accept(new ChangeOutcome.Unknown("not decided in time"));
                }
            }
            if (entry.waiters.isEmpty() && waiting.remove(entry)) {
                entries.remove(entry.identity);
            }
        }
    }

    private List<Entry> unanswered() {
        List<Entry> all = new ArrayList<>(entries.values());
        decided.forEach(answer -> all.add(answer.entry));
        return all;
    }

    /** This process leads no more: nobody knows of the change under way, and nothing was done about the others. */
    void abandon(ChangeOutcome.NotPrimary outcome) {
        Optional<Entry> unknown = inFlight;
        inFlight = Optional.empty();
        List<Entry> all = unanswered();
        waiting.clear();
        decided.clear();
        entries.clear();
        for (Entry entry : all) {
            boolean replicated = unknown.isPresent() && unknown.get() == entry;
            ChangeOutcome ended = replicated ? new ChangeOutcome.Unknown("the primary changed meanwhile") : outcome;
            entry.waiters.forEach(waiter -> waiter.callback.accept(ended));
        }
    }
}
