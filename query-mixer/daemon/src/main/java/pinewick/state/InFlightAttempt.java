package pinewick.state;

import org.xnio.XnioExecutor;

/** One launch of a part on its way: where it goes, until when it is waited for, and how far it has come. */
public final class InFlightAttempt {
    public final OpenQuery.ShardRequest piece;
    public final int number;
    public final String searcher;
    public final double sentAt;
    public final double until;
    /** Its first byte goes out before this time or never. */
    public double writeBy = Double.POSITIVE_INFINITY;

    public XnioExecutor.Key timer;
    /** The call that carries it, from when one was found. */
    public ReplicaCall call;

    public boolean over;
    /** Over, and known not to have run. */
    public boolean neverRan;

    public InFlightAttempt(OpenQuery.ShardRequest piece, int number, String searcher, double sentAt, double until) {
        this.piece = piece;
        this.number = number;
        this.searcher = searcher;
        this.sentAt = sentAt;
        this.until = until;
    }

    /** Whether not even a first byte of it has been written. */
    public boolean waits() {
        return call == null || call.stage == ReplicaCall.WriteState.PENDING;
    }
}
