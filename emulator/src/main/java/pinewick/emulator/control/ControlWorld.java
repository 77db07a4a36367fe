package pinewick.emulator.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Heartbeat;

/** Everything in one simulated run: time, network, machines, actors and what is checked. */
final class ControlWorld {
    static final int CONTACT_MS = 3_000;
    static final int CONFIG_APPLY_MS = 2_000;
    static final int DRAIN_MS = 2_000;
    static final int OUTER_MS = 5_000;
    static final int ACK_MS = 4_000;
    static final int LEASE_MS = 1_000;
    static final int HEARTBEAT_MS = 500;
    /** So old may the knowledge be on which a redirection rests. */
    static final double REDIRECT_AGE_MS = 1_500;

    private static final int MOST_SEEDS = 3;
    private static final double LOOK_MS = 100;

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final Network network;
    private final Sabotage sabotage;
    private final HistoryChecker history = new HistoryChecker();
    private final FleetChecker fleetChecker = new FleetChecker(this);
    private final LeaseChecker lease = new LeaseChecker();
    private final MembershipChecker membership = new MembershipChecker();
    private final List<ControllerMachine> controllers = new ArrayList<>();
    private final List<RouterMachine> routers = new ArrayList<>();
    private final List<ReplicaActor> replicas = new ArrayList<>();
    private final int toleratedMachines;
    private final Optional<List<String>> trace;
    private List<SocketAddress> seeds = List.of();
    private boolean cleanLinks = true;
    private double dirtyUntilMs;
    private double coreTroubleMs;
    private Optional<InvariantViolation> firstViolation = Optional.empty();

    /**
     * @param toleratedMachines how many machines may be lost at once
     * @param sabotage what a broken variant interposes
     * @param traced whether events are kept
     */
    ControlWorld(long seed, int toleratedMachines, Sabotage sabotage, boolean traced) {
        this.random = new SplittableRandom(seed);
        this.toleratedMachines = toleratedMachines;
        this.sabotage = sabotage;
        this.trace = traced ? Optional.of(new ArrayList<>()) : Optional.empty();
        this.network = new Network(time, seed);
        network.sabotage(new MembershipWatch());
        time.after(LOOK_MS, this::look);
    }

    /** Sees every message before a sabotage does. */
    private final class MembershipWatch extends Sabotage {
        @Override
        Message sent(Network on, SocketAddress from, SocketAddress to, Message message) {
            membership.sent(message);
            if (message instanceof Heartbeat) {
                controllers.stream()
                        .filter(machine -> machine.internal().equals(from))
                        .forEach(ControllerMachine::led);
            }
            return sabotage.sent(on, from, to, message);
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

    Sabotage sabotage() {
        return sabotage;
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

    boolean traced() {
        return trace.isPresent();
    }

    void note(String what) {
        trace.ifPresent(lines -> lines.add(String.format("%9.1f %s", nowMs(), what)));
    }

    List<String> trace() {
        return trace.orElse(List.of());
    }

    /** Whether no message is lost or late but by cuts. */
    boolean cleanLinks() {
        return cleanLinks && nowMs() >= dirtyUntilMs;
    }

    /** See {@link Network#quality}. */
    void linkQuality(double lost, double doubled, double late, double stale) {
        if (!cleanLinks) {
            dirtyUntilMs = nowMs() + Network.STALEST_MS;
        }
        cleanLinks = lost == 0 && late == 0;
        note(String.format("links lose %.3f, double %.3f, delay %.3f of all", lost, doubled, late));
        network.quality(lost, doubled, late, stale);
    }

    /**
     * A controller ends because the others can do without it, as it says: more copies are left than losses are
     * tolerated, but for those that are lost already.
     */
    void detached(ControllerMachine leaving) {
        long newest = history.newestAcknowledged();
        List<ControllerMachine> others = new ArrayList<>(present());
        others.remove(leaving);
        long copies = others.stream()
                .filter(machine -> machine.disk().version() >= newest)
                .count();
        long lost = others.stream().filter(machine -> !machine.sound()).count();
        InvariantViolation.require(
                copies + lost > toleratedMachines,
                Invariant.COPIES_LEFT,
                leaving + " ends as detached, version " + newest + " is on " + copies + " other disks");
    }

    /** Some messages are late from now on, for as long as the latest of them take. */
    void slowLinks() {
        dirtyUntilMs = nowMs() + 2 * Network.STALEST_MS;
    }

    /** Controllers that have not been taken away. */
    List<ControllerMachine> present() {
        List<ControllerMachine> present = new ArrayList<>();
        for (ControllerMachine machine : controllers) {
            if (!machine.removed()) {
                present.add(machine);
            }
        }
        return present;
    }

    Optional<ControllerMachine> controllerAt(SocketAddress api) {
        return controllers.stream().filter(machine -> machine.api().equals(api)).findFirst();
    }

    /** The machine that leads, as far as one knows itself to; if several do, the last to be seen. */
    Optional<ControllerMachine> primary() {
        return present().stream().filter(ControllerMachine::leads).reduce((first, second) -> second);
    }

    ControllerMachine addController() {
        ControllerMachine machine = new ControllerMachine(this, controllers.size() + 1, random.split());
        controllers.add(machine);
        return machine;
    }

    /** The first controllers, of which up to three are seeds, routers and replicas, all started. */
    void found(int controllerCount, int routerCount, int replicaCount) {
        for (int index = 0; index < controllerCount; index++) {
            addController();
        }
        seeds = controllers.stream()
                .limit(MOST_SEEDS)
                .map(ControllerMachine::internal)
                .toList();
        for (ControllerMachine machine : controllers) {
            machine.seeds(seeds);
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
     * Runs a check from within the code under test, which may catch what is thrown in it: a run whose check failed is
     * broken, whatever that code makes of it.
     */
    void guard(Runnable check) {
        try {
            check.run();
        } catch (InvariantViolation violation) {
            if (firstViolation.isEmpty()) {
                firstViolation = Optional.of(violation);
                note("BROKEN " + violation.getMessage());
            }
            time.stop();
        }
    }

    /** The first check from within the code under test that failed. */
    Optional<InvariantViolation> firstViolation() {
        return firstViolation;
    }

    /**
     * A controller redirects an operator. Knowledge may be old while messages are late or lost, or where a process has
     * just thawed: it hears what waited for it, and tells others.
     */
    void redirects(ControllerMachine from, SocketAddress api) {
        boolean thawed = present().stream().anyMatch(machine -> nowMs() - machine.lastThawMs() < REDIRECT_AGE_MS);
        boolean excused = !cleanLinks() || thawed;
        Optional<ControllerMachine> target = controllerAt(api);
        boolean ledLately = target.isPresent() && nowMs() - target.get().lastLedMs() < REDIRECT_AGE_MS;
        InvariantViolation.require(
                excused || ledLately,
                Invariant.REDIRECTS_TO_A_PRIMARY,
                from + " redirects to " + api + ", which led "
                        + target.map(machine -> nowMs() - machine.lastLedMs()).orElse(Double.NaN) + " ms ago");
    }

    /** Something befell a controller. */
    void coreTrouble() {
        coreTroubleMs = nowMs();
    }

    boolean coreCalmSince(double sinceMs) {
        return coreTroubleMs < sinceMs;
    }

    /** Notes which machines are in trouble at this moment. */
    private void look() {
        List<ControllerMachine> present = present();
        boolean calm = present.stream().allMatch(ControllerMachine::sound);
        for (ControllerMachine one : present) {
            for (ControllerMachine other : present) {
                calm &= one == other || network.isOpen(one.host(), other.host());
            }
        }
        if (!calm) {
            coreTrouble();
        }
        List<ControllerMachine> core =
                calm ? present : present.stream().filter(this::inMajority).toList();
        for (ControllerMachine machine : present) {
            boolean reaches = inMajority(machine)
                    && core.stream()
                            .allMatch(
                                    other -> other == machine || network.isOpenBothWays(machine.host(), other.host()));
            if (!reaches) {
                machine.troubled();
            }
        }
        for (RouterMachine router : routers) {
            boolean reaches = !core.isEmpty()
                    && core.stream().allMatch(machine -> network.isOpenBothWays(router.host(), machine.host()));
            if (!reaches) {
                router.troubled();
            }
        }
        after(LOOK_MS, this::look);
    }

    /** Whether a controller is sound and reaches, both ways, more than half of the controllers, itself counted in. */
    boolean inMajority(ControllerMachine machine) {
        List<ControllerMachine> present = present();
        long reached = present.stream()
                .filter(other ->
                        other.sound() && (other == machine || network.isOpenBothWays(machine.host(), other.host())))
                .count();
        return machine.sound() && 2 * reached > present.size();
    }
}
