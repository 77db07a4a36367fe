package pinewick.state;

import java.util.List;

/** A connection to a searcher as the tables and stages know it, from when it is asked for until it is closed. */
public interface OutboundConnection {
    String searcher();

    /** Whether another call may be put on it now. */
    boolean hasPlace();

    /** Looks whether an unused one was closed at the far end; false if so. */
    boolean stillThere();

    boolean isUp();

    /** Calls that are out on it. */
    int calls();

    void send(List<InFlightAttempt> launches);

    void probe(long number, boolean load);

    /** Takes a launch back that has not been written, or tells the searcher that it is given up. */
    void drop(InFlightAttempt launch, boolean tell);

    /** The launches of which no byte has been written. */
    List<InFlightAttempt> waiting();

    /** A launch on it is over, for whatever reason. */
    void over(InFlightAttempt launch);

    /** Whether nothing has come since that call was written. */
    boolean silentSince(ReplicaCall call);

    /** No new calls; it closes once those that are out have ended. */
    void retire(String why);

    /** To be called now and then: closes it before the far side would. */
    void look();

    void close(String why);
}
