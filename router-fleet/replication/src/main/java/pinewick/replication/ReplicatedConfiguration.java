package pinewick.replication;

import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;

/**
 * The replicated configuration as the operator API sees it. Called on the control loop, which also runs the callbacks.
 */
public interface ReplicatedConfiguration {
    /**
     * Advances the clock to the steady time given; to be called before one of the other calls. After a freeze a process
     * may serve a call before any other event has advanced its clock, and would otherwise treat outdated information as
     * current.
     */
    default void advanceClock(double nowMs) {}

    /**
     * Submits a change. The callback is called exactly once, within {@code ack_ms}, possibly before this method
     * returns.
     */
    void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback);

    /**
     * Reads the newest acknowledged configuration (a linearizable read). The callback is called exactly once, possibly
     * before this method returns.
     */
    void read(Consumer<ReadOutcome> callback);

    /**
     * Address of the operator API of the process that is believed to be primary, which may be this one; empty if none
     * is known.
     */
    Optional<SocketAddress> primary();

    /**
     * The counter of the epoch that this process leads, present only while it holds the lease of that epoch, proposes
     * no other one, and no order of an earlier primary can still be valid. Fencing tokens are derived from it.
     */
    Optional<Long> leadingEpoch();
}
