package pinewick.state;

import org.xnio.XnioExecutor;

/** An attempt of a shard request that has been sent or is about to be: its replica, its deadline and its progress. */
public final class InFlightAttempt {
    public final OpenQuery.ShardRequest shardRequest;
    public final int number;
    public final String replicaId;
    public final double sentAt;
    public final double deadline;
    /** Its first byte is written before this time or never. */
    public double writeDeadline = Double.POSITIVE_INFINITY;

    public XnioExecutor.Key timer;
    /** The call that carries it; null until a connection was found. */
    public ReplicaCall call;

    public boolean ended;
    /** Whether it has ended and is known not to have run. */
    public boolean neverRan;

    public InFlightAttempt(
            OpenQuery.ShardRequest shardRequest, int number, String replicaId, double sentAt, double deadline) {
        this.shardRequest = shardRequest;
        this.number = number;
        this.replicaId = replicaId;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    /** Whether not even its first byte has been written. */
    public boolean isUnwritten() {
        return call == null || call.writeState == ReplicaCall.WriteState.PENDING;
    }
}
