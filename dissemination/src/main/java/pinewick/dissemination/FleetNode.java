package pinewick.dissemination;

import java.util.List;
import java.util.random.RandomGenerator;
import pinewick.membership.NodeDescriptor;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/**
 * A process's part in membership and dissemination. Owned by one thread, the control loop: it calls {@link #onTick} every
 * {@link #TICK_MS}, hands in every message, and publishes what is new here.
 */
public final class FleetNode {
    /** How often {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = 50;

    private final FleetState state;

    /**
     * @param self this process
     * @param seeds internal addresses of some controllers
     * @param state what this process knows; changed here, listened to by others
     * @param outbox takes messages to peers
     * @param random source of chance, seeded by the caller
     */
    public FleetNode(
            NodeDescriptor self, List<SocketAddress> seeds, FleetState state, Outbox outbox, RandomGenerator random) {
        this.state = state;
    }

    /** Time has passed. */
    public void onTick(double nowMs) {}

    /** Handles a message if it is of membership or dissemination; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        return false;
    }

    /** {@link FleetState#configuration()} was changed by this process: tell the others at once. */
    public void configurationCommitted(double nowMs) {}

    /**
     * Merges a record that arose here and tells the others at once.
     *
     * @param heldElsewhere run once another controller has confirmed that it holds the record; never, if none does
     */
    public void publish(ReplicaRecord record, Runnable heldElsewhere, double nowMs) {
        state.merge(record);
    }

    /** Whether this process has caught up with at least one other since its start. */
    public boolean synchronised() {
        return false;
    }

    /** Routers believed to be running, at least 1. */
    public int routerCount() {
        return 1;
    }

    /** More routers than are running, with high probability; at least 1. */
    public int routerCountUpperBound() {
        return 1;
    }

    /** Peers known at this moment, a random sample of the fleet. */
    public List<NodeDescriptor> peers() {
        return List.of();
    }

    /** This process is about to end on purpose: tell the peers. */
    public void leave(double nowMs) {}
}
