package pinewick.state;

import java.util.List;

/** A connection to a replica as the pipeline and its state see it, from the request to open it until it is closed. */
public interface OutboundConnection {
    String replicaId();

    /** Whether another call may be sent on it now. */
    boolean hasCapacity();

    /** Checks whether the far end has closed this connection while it was unused; false if so. */
    boolean isStillOpen();

    boolean isConnected();

    /** The number of calls that have not ended. */
    int activeCalls();

    void send(List<InFlightAttempt> attempts);

    void sendProbe(long number, boolean withLoad);

    /** Withdraws an attempt that has not been written, or tells the replica that it has been abandoned. */
    void cancel(InFlightAttempt attempt, boolean notifyReplica);

    /** The attempts of which no byte has been written. */
    List<InFlightAttempt> unwrittenAttempts();

    /** Handles the end of an attempt on this connection, whatever its outcome. */
    void onAttemptEnded(InFlightAttempt attempt);

    /** Whether nothing has been received since this call was written. */
    boolean isSilentSince(ReplicaCall call);

    /** Accepts no new calls; closes once the active ones have ended. */
    void retire(String reason);

    /** Closes an idle connection before the far end would; called periodically. */
    void checkIdle();

    void close(String reason);
}
