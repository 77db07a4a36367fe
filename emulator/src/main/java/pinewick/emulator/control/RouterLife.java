package pinewick.emulator.control;

import java.util.List;
import java.util.SplittableRandom;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.dissemination.FleetStateListener;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** One life of a router's process, as far as it takes configurations and replica records. */
final class RouterLife {
    private final ControlWorld world;
    private final SocketAddress address;
    private final SplittableRandom random;
    private final FleetState state = new FleetState();
    private final FleetNode node;
    private final double clockOffsetMs;
    private final double startedAtMs;
    private boolean alive = true;
    private long shownVersion;

    RouterLife(ControlWorld world, SocketAddress address, List<SocketAddress> seeds, SplittableRandom random) {
        this.world = world;
        this.address = address;
        this.random = random;
        this.clockOffsetMs = random.nextDouble(1_000_000);
        this.startedAtMs = world.nowMs();
        NodeDescriptor self = new NodeDescriptor(address, (long) world.nowMs(), NodeRole.ROUTER, "zone-a");
        this.node = new FleetNode(
                self, seeds, state, (peer, message) -> world.network().send(address, peer, message), random.split());
        state.addListener(new Watch());
        world.after(random.nextDouble(FleetNode.TICK_MS), this::tick);
    }

    private final class Watch implements FleetStateListener {
        @Override
        public void onConfigurationChanged(ConfigurationDocument document) {
            world.guard(() -> world.history().inForceAt(address.host(), document));
            world.guard(() -> shows(document.version()));
        }

        @Override
        public void onReplicaChanged(ReplicaRecord record) {
            world.guard(() -> world.fleetChecker().knows(RouterLife.this, address.host(), record));
        }
    }

    /** Requests are handled by this version from now on. */
    private void shows(long version) {
        InvariantViolation.require(
                version >= shownVersion,
                Invariant.NO_REGRESS,
                address.host() + " goes from version " + shownVersion + " back to " + version);
        shownVersion = version;
    }

    private void tick() {
        if (alive) {
            node.onTick(world.nowMs() + clockOffsetMs);
            world.after(random.nextDouble(49, 53), this::tick);
        }
    }

    void onMessage(SocketAddress sender, Message message) {
        Message taken = world.sabotage().received(sender, address, message);
        if (alive && taken != null) {
            node.onMessage(sender, taken, world.nowMs() + clockOffsetMs);
            world.sabotage().routerReceived(this, taken, this::shows);
        }
    }

    String host() {
        return address.host();
    }

    FleetState state() {
        return state;
    }

    long shownVersion() {
        return shownVersion;
    }

    double startedAtMs() {
        return startedAtMs;
    }

    void end() {
        alive = false;
    }
}
