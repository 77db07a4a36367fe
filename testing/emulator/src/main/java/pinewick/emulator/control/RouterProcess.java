package pinewick.emulator.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import pinewick.dissemination.Confirmation;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.dissemination.FleetStateListener;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;

/** One incarnation of a router's process, reduced to the reception of configurations and replica records. */
final class RouterProcess {
    private static final int MAX_BACKLOG = 5_000;

    private final SimulatedSystem system;
    private final SocketAddress address;
    private final SplittableRandom random;
    private final FleetState state = new FleetState();
    private final FleetNode node;
    private final double clockOffsetMs;
    private final double startedAtMs;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private boolean running = true;
    private boolean frozen;
    private long appliedVersion;

    RouterProcess(SimulatedSystem system, SocketAddress address, List<SocketAddress> seeds, SplittableRandom random) {
        this.system = system;
        this.address = address;
        this.random = random;
        this.clockOffsetMs = random.nextDouble(1_000_000);
        this.startedAtMs = system.nowMs();
        NodeDescriptor self = new NodeDescriptor(address, (long) system.nowMs(), NodeRole.ROUTER, "zone-a");
        this.node = new FleetNode(
                self, seeds, state, (peer, message) -> system.network().send(address, peer, message), random.split());
        state.addListener(new StateObserver());
        system.after(random.nextDouble(FleetNode.TICK_MS), this::tick);
    }

    private final class StateObserver implements FleetStateListener {
        @Override
        public void onConfigurationChanged(ConfigurationDocument document) {
            system.guard(() -> system.history().onInForce(address.host(), document));
            system.guard(() -> onVersionApplied(document.version()));
        }

        @Override
        public void onReplicaChanged(ReplicaRecord record) {
            system.guard(() -> system.fleetChecker().onReplicaKnown(RouterProcess.this, address.host(), record));
        }
    }

    /** Checks the version that the router applies from now on. */
    private void onVersionApplied(long version) {
        InvariantViolation.require(
                version >= appliedVersion,
                Invariant.NO_REGRESSION,
                address.host() + " changes from version " + appliedVersion + " back to " + version);
        appliedVersion = version;
    }

    private void tick() {
        if (running) {
            run(() -> {
                node.onTick(system.nowMs() + clockOffsetMs);
                checkFreshness();
            });
            system.after(random.nextDouble(49, 53), this::tick);
        }
    }

    void onMessage(SocketAddress sender, Message message) {
        Message delivered = system.mutation().onReceived(sender, address, message);
        if (delivered != null) {
            run(() -> handle(sender, delivered));
        }
    }

    private void handle(SocketAddress sender, Message message) {
        system.mutation().onHandledByRouter(this, message);
        node.onMessage(sender, message, system.nowMs() + clockOffsetMs);
        checkFreshness();
        system.mutation().onRouterReceived(this, message, this::onVersionApplied);
    }

    /** Runs a task in the process; if it is frozen, after it resumes. */
    private void run(Runnable task) {
        if (running && !frozen) {
            task.run();
        } else if (running && backlog.size() < MAX_BACKLOG) {
            backlog.add(task);
        }
    }

    void freeze() {
        frozen = true;
    }

    void resume() {
        frozen = false;
        List<Runnable> tasks = new ArrayList<>(backlog);
        backlog.clear();
        tasks.forEach(this::run);
    }

    private void checkFreshness() {
        Confirmation confirmation = node.freshness();
        double atMs = system.mutation().confirmedAtMs(this, confirmation.confirmedAtMs() - clockOffsetMs);
        system.guard(() -> system.freshness().onConfirmed(address.host(), confirmation.version(), atMs));
    }

    /** Simulated time. */
    double systemNowMs() {
        return system.nowMs();
    }

    String host() {
        return address.host();
    }

    FleetState state() {
        return state;
    }

    long appliedVersion() {
        return appliedVersion;
    }

    double startedAtMs() {
        return startedAtMs;
    }

    void stop() {
        running = false;
    }
}
