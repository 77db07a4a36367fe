package pinewick;

/** One launch of a part: where it went, when, and what became of it. */
final class Launch<S> {
    final S searcher;
    final double sentAt;
    final double overdueAt;
    boolean over;
    boolean neverRan;
    boolean cancelled;
    boolean streaming;

    Launch(S searcher, double sentAt, double overdueAt) {
        this.searcher = searcher;
        this.sentAt = sentAt;
        this.overdueAt = overdueAt;
    }
}
