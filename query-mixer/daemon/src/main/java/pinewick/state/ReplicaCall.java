package pinewick.state;

import java.util.ArrayList;
import java.util.List;

/** Launches that travel in one frame, and whether that has been written. */
public final class ReplicaCall {
    /** WAITING: no byte written; BEGUN: some; WRITTEN: the last one too. */
    public enum WriteState {
        PENDING,
        PARTIAL,
        WRITTEN
    }

    public final List<InFlightAttempt> launches = new ArrayList<>();
    public final OutboundConnection link;
    public WriteState stage = WriteState.PENDING;
    /** How many of its launches are not over. */
    public int out;

    public double writtenAt;

    public ReplicaCall(OutboundConnection link, List<InFlightAttempt> launches) {
        this.link = link;
        this.launches.addAll(launches);
        this.out = launches.size();
        launches.forEach(each -> each.call = this);
    }
}
