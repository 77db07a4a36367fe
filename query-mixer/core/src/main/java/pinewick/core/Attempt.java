package pinewick.core;

/** One attempt of a shard request: its replica, its times and its outcome. */
final class Attempt {
    final Replica replica;
    final double sentAt;
    final double overdueAt;
    /** Shard requests known to be ahead of this one in the queue of the replica. */
    final double queuedAhead;

    boolean finished;
    boolean neverRan;
    /** Whether it was still outstanding when the next attempt was sent. */
    boolean outstandingAtRetry;

    boolean cancelled;

    Attempt(Replica replica, double sentAt, double overdueAt, double queuedAhead) {
        this.replica = replica;
        this.sentAt = sentAt;
        this.overdueAt = overdueAt;
        this.queuedAhead = queuedAhead;
    }
}
