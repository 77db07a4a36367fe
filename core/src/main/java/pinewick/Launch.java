package pinewick;

/** One launch of a part: where it went, when, and what became of it. */
final class Launch<S> {
    final S searcher;
    final double sentAt;
    final double overdueAt;
    final double ahead;
    boolean over;
    boolean neverRan;
    /** Whether it was still out when the part was launched again. */
    boolean outAtNext;
    boolean cancelled;

    Launch(S searcher, double sentAt, double overdueAt, double ahead) {
        this.searcher = searcher;
        this.sentAt = sentAt;
        this.overdueAt = overdueAt;
        this.ahead = ahead;
    }
}
