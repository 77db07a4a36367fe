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
 * The submitted changes that are not completed: queued, in flight (at most one is replicated at a time), or with an
 * outcome that waits for the epoch to be confirmed. A change that is submitted again while it is queued or in flight
 * shares the outcome of the earlier submission. Control loop only.
 */
final class ChangeQueue {
    private static final long NO_HEARTBEAT_YET = Long.MAX_VALUE;

    /** Identity of a change: two submissions with the same identity are of the same change. */
    private record Identity(long baseVersion, String digest) {}

    private record PendingCallback(double deadlineMs, Consumer<ChangeOutcome> callback) {}

    /** A change and the callbacks that wait for its outcome. */
    static final class Entry {
        private final ConfigurationChange change;
        private final Identity identity;
        private final List<PendingCallback> callbacks = new ArrayList<>();

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

    private record UnconfirmedOutcome(Entry entry, ChangeOutcome outcome, long heartbeat) {}

    private final Map<Identity, Entry> entries = new HashMap<>();
    private final Deque<Entry> queued = new ArrayDeque<>();
    private final List<UnconfirmedOutcome> unconfirmed = new ArrayList<>();
    private Optional<Entry> inFlight = Optional.empty();

    void add(ConfigurationChange change, double deadlineMs, Consumer<ChangeOutcome> callback) {
        Identity identity = new Identity(change.baseVersion(), ChangeKey.digestOf(change));
        Entry entry = entries.get(identity);
        if (entry == null) {
            entry = new Entry(change, identity);
            entries.put(identity, entry);
            queued.add(entry);
        }
        entry.callbacks.add(new PendingCallback(deadlineMs, callback));
    }

    /** Removes and returns the next change to process; empty if there is none. */
    Optional<Entry> next() {
        return Optional.ofNullable(queued.poll());
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** The change is being replicated, and stays in flight until a state is committed or this process steps down. */
    void onReplicationStarted(Entry entry) {
        inFlight = Optional.of(entry);
    }

    /**
     * Completes the change once a heartbeat that is sent after this call has been confirmed. A later submission of the
     * same change does not share this outcome, as the heartbeat may have been sent before that submission.
     */
    void completeOnceConfirmed(Entry entry, ChangeOutcome outcome) {
        entries.remove(entry.identity, entry);
        unconfirmed.add(new UnconfirmedOutcome(entry, outcome, NO_HEARTBEAT_YET));
    }

    /** Whether some outcome needs a heartbeat that has not been sent yet. */
    boolean needsHeartbeat() {
        return unconfirmed.stream().anyMatch(unconfirmedOutcome -> unconfirmedOutcome.heartbeat == NO_HEARTBEAT_YET);
    }

    /** A heartbeat was sent; the outcomes without one wait for its confirmation. */
    void onHeartbeatSent(long heartbeat) {
        unconfirmed.replaceAll(unconfirmedOutcome -> unconfirmedOutcome.heartbeat == NO_HEARTBEAT_YET
                ? new UnconfirmedOutcome(unconfirmedOutcome.entry, unconfirmedOutcome.outcome, heartbeat)
                : unconfirmedOutcome);
    }

    /** Queues the changes with unconfirmed outcomes again, as a new epoch of this process has started. */
    void requeueUnconfirmed() {
        unconfirmed.forEach(unconfirmedOutcome -> requeue(unconfirmedOutcome.entry));
        unconfirmed.clear();
    }

    private void requeue(Entry entry) {
        Entry duplicate = entries.putIfAbsent(entry.identity, entry);
        if (duplicate == null) {
            queued.addFirst(entry);
        } else {
            duplicate.callbacks.addAll(entry.callbacks);
        }
    }

    /** Heartbeats up to this one are confirmed: reports the outcomes that were decided before they were sent. */
    void onHeartbeatConfirmed(long heartbeat) {
        for (UnconfirmedOutcome unconfirmedOutcome : List.copyOf(unconfirmed)) {
            if (unconfirmedOutcome.heartbeat <= heartbeat) {
                unconfirmed.remove(unconfirmedOutcome);
                complete(unconfirmedOutcome.entry, unconfirmedOutcome.outcome);
            }
        }
    }

    /**
     * A state is committed. The change in flight is accepted if the state contains it, and is queued again otherwise.
     */
    void onCommitted(ConfigurationState state) {
        if (inFlight.isEmpty()) {
            return;
        }
        Entry entry = inFlight.get();
        inFlight = Optional.empty();
        state.changes()
                .versionOf(entry.identity.baseVersion, entry.identity.digest)
                .ifPresentOrElse(
                        version -> complete(entry, new ChangeOutcome.Accepted(version)), () -> queued.addFirst(entry));
    }

    void complete(Entry entry, ChangeOutcome outcome) {
        entries.remove(entry.identity, entry);
        entry.callbacks.forEach(pending -> pending.callback.accept(outcome));
    }

    /**
     * Completes callbacks whose deadline has passed with an unknown outcome. A change without callbacks is removed if
     * it is still queued.
     */
    void expire(double nowMs) {
        for (Entry entry : incompleteEntries()) {
            for (PendingCallback pending : List.copyOf(entry.callbacks)) {
                if (pending.deadlineMs <= nowMs) {
                    entry.callbacks.remove(pending);
                    pending.callback.accept(new ChangeOutcome.Unknown("not decided in time"));
                }
            }
            if (entry.callbacks.isEmpty() && queued.remove(entry)) {
                entries.remove(entry.identity);
            }
        }
    }

    private List<Entry> incompleteEntries() {
        List<Entry> all = new ArrayList<>(entries.values());
        unconfirmed.forEach(unconfirmedOutcome -> all.add(unconfirmedOutcome.entry));
        return all;
    }

    /**
     * Completes every change, as this process steps down. The outcome of the change in flight is unknown; the others
     * get the outcome given, as nothing was done about them.
     */
    void failAll(ChangeOutcome.NotPrimary outcome) {
        Optional<Entry> unknown = inFlight;
        inFlight = Optional.empty();
        List<Entry> all = incompleteEntries();
        queued.clear();
        unconfirmed.clear();
        entries.clear();
        for (Entry entry : all) {
            boolean replicated = unknown.isPresent() && unknown.get() == entry;
            ChangeOutcome entryOutcome =
                    replicated ? new ChangeOutcome.Unknown("the primary changed during replication") : outcome;
            entry.callbacks.forEach(pending -> pending.callback.accept(entryOutcome));
        }
    }
}
