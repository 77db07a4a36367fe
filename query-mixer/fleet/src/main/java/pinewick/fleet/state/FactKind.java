package pinewick.fleet.state;

/** What is replicated of a searcher, each with how old it may be and still count. */
public enum FactKind {
    /**
     * Smoothed latency, seconds, and reported queue, as one mixer saw them: a mixer that returns need not learn anew.
     */
    LATENCY(65),
    /** Failures in a row at one mixer, and 0: each mixer alone would pay to learn the same bad searcher. */
    UNHEALTHY(3),
    /** Seen draining (1) or gone (2) by one mixer: an earlier warning only, the own list decides. */
    LEAVING(10),
    /** Work, seconds, sent to a cold searcher by one mixer in the window of rule 4, and the window's length. */
    COLD_WORK(5);

    private final double maxAgeSeconds;

    FactKind(double maxAgeSeconds) {
        this.maxAgeSeconds = maxAgeSeconds;
    }

    /** Seconds after which a fact of this kind is forgotten. */
    public double maxAgeSeconds() {
        return maxAgeSeconds;
    }
}
