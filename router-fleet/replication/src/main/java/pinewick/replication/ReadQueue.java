package pinewick.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pinewick.model.ConfigurationDocument;

/**
 * Pending linearizable reads: each completes once a quorum has confirmed a heartbeat that was sent after the read was
 * submitted. Control loop only.
 */
final class ReadQueue {
    private static final long NO_HEARTBEAT_YET = Long.MAX_VALUE;

    private record PendingRead(double deadlineMs, long heartbeat, Consumer<ReadOutcome> callback) {}

    private final List<PendingRead> pending = new ArrayList<>();

    void add(double deadlineMs, Consumer<ReadOutcome> callback) {
        pending.add(new PendingRead(deadlineMs, NO_HEARTBEAT_YET, callback));
    }

    /** Whether some read needs a heartbeat that has not been sent yet. */
    boolean needsHeartbeat() {
        return pending.stream().anyMatch(read -> read.heartbeat == NO_HEARTBEAT_YET);
    }

    /** A heartbeat was sent; the reads without one wait for its confirmation. */
    void onHeartbeatSent(long heartbeat) {
        pending.replaceAll(read ->
                read.heartbeat == NO_HEARTBEAT_YET ? new PendingRead(read.deadlineMs, heartbeat, read.callback) : read);
    }

    /**
     * Heartbeats up to this one are confirmed: completes the reads that wait for them with the newest committed
     * document.
     */
    void onHeartbeatConfirmed(long heartbeat, ConfigurationDocument document) {
        for (PendingRead read : List.copyOf(pending)) {
            if (read.heartbeat <= heartbeat) {
                pending.remove(read);
                read.callback.accept(new ReadOutcome.Current(document));
            }
        }
    }

    /** A new epoch has started: heartbeats of the earlier one no longer confirm anything. */
    void awaitNewHeartbeat() {
        pending.replaceAll(read -> new PendingRead(read.deadlineMs, NO_HEARTBEAT_YET, read.callback));
    }

    void expire(double nowMs) {
        for (PendingRead read : List.copyOf(pending)) {
            if (read.deadlineMs <= nowMs) {
                pending.remove(read);
                read.callback.accept(new ReadOutcome.Unavailable("not confirmed in time"));
            }
        }
    }

    /** Completes every read with this outcome; this process has stepped down. */
    void failAll(ReadOutcome.NotPrimary outcome) {
        List<PendingRead> all = List.copyOf(pending);
        pending.clear();
        all.forEach(read -> read.callback.accept(outcome));
    }
}
