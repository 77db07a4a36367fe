package pinewick.core;

/** One launch of a part: where it went, when, and what became of it. */
final class Attempt {
    final Replica replica;
    final double sentAt;
    final double overdueAt;
    /** Parts known to be in the replica's queue before this one. */
    final double queuedAhead;

    boolean over;
    boolean neverRan;
    /** Whether it was still outstanding when the part was launched again. */
    boolean outstandingAtNext;

    boolean cancelled;

    Attempt(Replica replica, double sentAt, double overdueAt, double queuedAhead) {
        this.replica = replica;
        this.sentAt = sentAt;
        this.overdueAt = overdueAt;
        this.queuedAhead = queuedAhead;
    }
}
