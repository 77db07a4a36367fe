package pinewick.state;

import java.util.ArrayList;
import java.util.List;

/** A call to a replica: attempts that travel in one frame, and how much of that frame has been written. */
public final class ReplicaCall {
    /** PENDING: no byte written; PARTIAL: some bytes written; WRITTEN: the whole frame written. */
    public enum WriteState {
        PENDING,
        PARTIAL,
        WRITTEN
    }

    public final List<InFlightAttempt> attempts = new ArrayList<>();
    public final OutboundConnection connection;
    public WriteState writeState = WriteState.PENDING;
    /** The number of its attempts that have not ended. */
    public int activeCount;

    public double writtenAt;

    public ReplicaCall(OutboundConnection connection, List<InFlightAttempt> attempts) {
        this.connection = connection;
        this.attempts.addAll(attempts);
        this.activeCount = attempts.size();
        attempts.forEach(each -> each.call = this);
    }
}
