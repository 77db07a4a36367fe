package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages;
import pinewick.replication.ReplicationMessages.Heartbeat;

/** Everything in one simulated run: time, network, machines, actors and checkers. */
final class SimulatedSystem {
    static final int CONTACT_MS = 3_000;
    static final int CONFIG_APPLY_MS = 2_000;
    static final int DRAIN_MS = 2_000;
    static final int MAX_SPREAD_MS = 5_000;
    static final int ACK_MS = 4_000;
    static final int LEASE_MS = 1_000;
    static final int HEARTBEAT_MS = 500;
    /** A redirect may be based on information of at most this age. */
    static final double MAX_REDIRECT_AGE_MS = 1_500;

    private static final int MAX_SEEDS = 3;
    private static final double OBSERVATION_INTERVAL_MS = 100;

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final Network network;
    private final Mutation mutation;
    private final HistoryChecker history = new HistoryChecker();
    private final FleetChecker fleetChecker = new FleetChecker(this);
    private final LeaseChecker lease = new LeaseChecker();
    private final FreshnessChecker freshness = new FreshnessChecker();
    private final MembershipChecker membership = new MembershipChecker();
    private final List<ControllerMachine> controllers = new ArrayList<>();
    private final List<RouterMachine> routers = new ArrayList<>();
    private final List<ReplicaActor> replicas = new ArrayList<>();
    private final int toleratedMachines;
    private final Optional<List<String>> trace;
    private List<SocketAddress> seeds = List.of();
    private boolean cleanLinks = true;
    private double linksDisturbedUntilMs;
    private double lastControllerFaultMs;
    private Optional<InvariantViolation> firstViolation = Optional.empty();
    private IntConsumer messageListener = count -> {};
    private int controllerMessages;

    /**
     * @param toleratedMachines how many machines may be lost at once
     * @param mutation the mutation of the code, if any
     * @param isTraced whether events are recorded
     */
    SimulatedSystem(long seed, int toleratedMachines, Mutation mutation, boolean isTraced) {
        this.random = new SplittableRandom(seed);
        this.toleratedMachines = toleratedMachines;
        this.mutation = mutation;
        this.trace = isTraced ? Optional.of(new ArrayList<>()) : Optional.empty();
        this.network = new Network(time, seed);
        network.setMutation(new MembershipObserver());
        time.after(OBSERVATION_INTERVAL_MS, this::observe);
    }

    /** Observes every message before the mutation does. */
    private final class MembershipObserver extends Mutation {
        @Override
        Message onSent(Network carrier, SocketAddress from, SocketAddress to, Message message) {
            membership.onSent(message);
            if (message.getClass().getEnclosingClass() == ReplicationMessages.class) {
                messageListener.accept(controllerMessages++);
            }
            if (message instanceof Heartbeat) {
                controllers.stream()
                        .filter(machine -> machine.internal().equals(from))
                        .forEach(ControllerMachine::onHeartbeatSent);
            }
            return mutation.onSent(carrier, from, to, message);
        }
    }

    VirtualTime time() {
        return time;
    }

    double nowMs() {
        return time.nowMs();
    }

    void after(double delayMs, Runnable task) {
        time.after(delayMs, task);
    }

    Network network() {
        return network;
    }

    Mutation mutation() {
        return mutation;
    }

    HistoryChecker history() {
        return history;
    }

    FleetChecker fleetChecker() {
        return fleetChecker;
    }

    LeaseChecker lease() {
        return lease;
    }

    FreshnessChecker freshness() {
        return freshness;
    }

    int toleratedMachines() {
        return toleratedMachines;
    }

    List<SocketAddress> seeds() {
        return seeds;
    }

    List<RouterMachine> routers() {
        return routers;
    }

    List<ReplicaActor> replicas() {
        return replicas;
    }

    boolean isTraced() {
        return trace.isPresent();
    }

    void trace(String event) {
        trace.ifPresent(lines -> lines.add(String.format("%9.1f %s", nowMs(), event)));
    }

    List<String> traceLines() {
        return trace.orElse(List.of());
    }

    /** Whether messages are lost or delayed only by partitions. */
    boolean hasCleanLinks() {
        return cleanLinks && nowMs() >= linksDisturbedUntilMs;
    }

    /** See {@link Network#setQuality}. */
    void setLinkQuality(double loss, double duplication, double late, double stale) {
        if (!cleanLinks) {
            linksDisturbedUntilMs = nowMs() + Network.MAX_STALE_MS;
        }
        cleanLinks = loss == 0 && late == 0;
        trace(String.format("links lose %.3f, duplicate %.3f, delay %.3f of all messages", loss, duplication, late));
        network.setQuality(loss, duplication, late, stale);
    }

    /**
     * A controller exits as detached: the number of other stores with the newest configuration, plus the number of
     * other machines that are not healthy, must exceed the number of tolerated losses.
     */
    void onDetached(ControllerMachine exiting) {
        long newest = history.newestAcknowledged();
        List<ControllerMachine> others = new ArrayList<>(present());
        others.remove(exiting);
        long stores = others.stream()
                .filter(machine -> machine.disk().version() >= newest)
                .count();
        long lostMachines =
                others.stream().filter(machine -> !machine.isHealthy()).count();
        InvariantViolation.require(
                stores + lostMachines > toleratedMachines,
                Invariant.ENOUGH_STORES_LEFT,
                exiting + " exits as detached, version " + newest + " is on " + stores + " other disks");
    }

    /** Some messages are delayed from now on; marks the links as disturbed until the last of them has arrived. */
    void slowLinks() {
        linksDisturbedUntilMs = nowMs() + 2 * Network.MAX_STALE_MS;
    }

    /** Calls the listener for each replication message sent from now on, with its index from 0. */
    void onControllerMessages(IntConsumer listener) {
        controllerMessages = 0;
        messageListener = listener;
    }

    /** Controllers that have not been removed. */
    List<ControllerMachine> present() {
        List<ControllerMachine> present = new ArrayList<>();
        for (ControllerMachine machine : controllers) {
            if (!machine.isRemoved()) {
                present.add(machine);
            }
        }
        return present;
    }

    Optional<ControllerMachine> controllerAt(SocketAddress api) {
        return controllers.stream().filter(machine -> machine.api().equals(api)).findFirst();
    }

    /** The machine that considers itself primary; the last one if there are several. */
    Optional<ControllerMachine> primary() {
        return present().stream().filter(ControllerMachine::isPrimary).reduce((first, second) -> second);
    }

    ControllerMachine addController() {
        ControllerMachine machine = new ControllerMachine(this, controllers.size() + 1, random.split());
        controllers.add(machine);
        return machine;
    }

    /** Starts the first controllers, of which up to three are seeds, the routers and the replicas. */
    void startAll(int controllerCount, int routerCount, int replicaCount) {
        for (int index = 0; index < controllerCount; index++) {
            addController();
        }
        seeds = controllers.stream()
                .limit(MAX_SEEDS)
                .map(ControllerMachine::internal)
                .toList();
        for (ControllerMachine machine : controllers) {
            machine.setSeeds(seeds);
            after(random.nextDouble(300), () -> machine.start(true));
        }
        for (int index = 1; index <= routerCount; index++) {
            routers.add(new RouterMachine(this, index, random.split()));
        }
        for (int index = 1; index <= replicaCount; index++) {
            ReplicaActor replica = new ReplicaActor(this, index, random.split());
            replicas.add(replica);
            after(random.nextDouble(500, 1_500), replica::start);
        }
    }

    /**
     * Runs a check that is called from the code under test. A violation is recorded, because that code might catch the
     * exception.
     */
    void guard(Runnable check) {
        try {
            check.run();
        } catch (InvariantViolation violation) {
            if (firstViolation.isEmpty()) {
                firstViolation = Optional.of(violation);
                trace("VIOLATION " + violation.getMessage());
            }
            time.stop();
        }
    }

    /** The first violation found by {@link #guard}. */
    Optional<InvariantViolation> firstViolation() {
        return firstViolation;
    }

    /**
     * A controller redirects an operator. Its information may be outdated while messages are delayed or lost, and after
     * a process has resumed from a freeze, which handles buffered messages and informs others.
     */
    void onRedirect(ControllerMachine from, SocketAddress api) {
        boolean hasRecentlyResumed =
                present().stream().anyMatch(machine -> nowMs() - machine.lastResumeMs() < MAX_REDIRECT_AGE_MS);
        boolean isExcused = !hasCleanLinks() || hasRecentlyResumed;
        Optional<ControllerMachine> target = controllerAt(api);
        boolean ledRecently = target.isPresent() && nowMs() - target.get().lastHeartbeatSentMs() < MAX_REDIRECT_AGE_MS;
        InvariantViolation.require(
                isExcused || ledRecently,
                Invariant.REDIRECTS_TO_A_PRIMARY,
                from + " redirects to " + api + ", which last led "
                        + target.map(machine -> nowMs() - machine.lastHeartbeatSentMs())
                                .orElse(Double.NaN) + " ms ago");
    }

    /** A fault of a controller. */
    void onControllerFault() {
        lastControllerFaultMs = nowMs();
    }

    boolean isUndisturbedSince(double sinceMs) {
        return lastControllerFaultMs < sinceMs;
    }

    /** Observes which machines are disturbed at this moment. */
    private void observe() {
        List<ControllerMachine> present = present();
        boolean isUndisturbed = present.stream().allMatch(ControllerMachine::isHealthy);
        for (ControllerMachine machine : present) {
            for (ControllerMachine other : present) {
                isUndisturbed &= machine == other || network.isOpen(machine.host(), other.host());
            }
        }
        if (!isUndisturbed) {
            onControllerFault();
        }
        List<ControllerMachine> majority = isUndisturbed
                ? present
                : present.stream().filter(this::isInMajority).toList();
        for (ControllerMachine machine : present) {
            boolean reaches = isInMajority(machine)
                    && majority.stream()
                            .allMatch(
                                    other -> other == machine || network.isOpenBothWays(machine.host(), other.host()));
            if (!reaches) {
                machine.onFault();
            }
        }
        for (RouterMachine router : routers) {
            boolean reaches = !majority.isEmpty()
                    && majority.stream().allMatch(machine -> network.isOpenBothWays(router.host(), machine.host()));
            if (!reaches) {
                router.onFault();
            }
        }
        after(OBSERVATION_INTERVAL_MS, this::observe);
    }

    /** Whether a controller is healthy and reaches, both ways, a majority of the controllers including itself. */
    boolean isInMajority(ControllerMachine machine) {
        List<ControllerMachine> present = present();
        long reached = present.stream()
                .filter(other ->
                        other.isHealthy() && (other == machine || network.isOpenBothWays(machine.host(), other.host())))
                .count();
        return machine.isHealthy() && 2 * reached > present.size();
    }
}
