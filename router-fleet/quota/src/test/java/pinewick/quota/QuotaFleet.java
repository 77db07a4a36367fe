package pinewick.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import pinewick.model.Message;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;
import pinewick.model.SocketAddress;
import pinewick.model.Tenant;
import pinewick.quota.QuotaMessages.QuotaRequest;

/**
 * Simulates routers and controllers in virtual time, with the real {@link QuotaClient} and {@link QuotaCoordinator}.
 * One tenant's requests arrive at random routers; messages are lost, duplicated and delayed; routers restart, freeze
 * and are partitioned from the controllers; the authority to grant is held by one controller at a time, and moves
 * between them with gaps. Every executed request is recorded.
 */
final class QuotaFleet {
    static final String TENANT = "t";
    private static final int CONTROLLERS = 5;
    private static final int CONTROLLER_PORT = 7_081;
    private static final double EXECUTION_DELAY_MS = 40;
    private static final double MAX_WAIT_MS = 90;
    private static final double TICK_MS = 20;
    private static final double BURST_MS = 4_000;
    private static final double MIN_AUTHORITY_MS = 500;

    final VirtualEvents events = new VirtualEvents();
    final List<Executed> executed = new ArrayList<>();
    int offered;
    int rejected;
    long messages;

    private final Plan plan;
    private final SplittableRandom random;
    private final Map<SocketAddress, Router> routers = new HashMap<>();
    private final List<SocketAddress> routerAddresses = new ArrayList<>();
    private final List<SocketAddress> controllerAddresses = new ArrayList<>();
    private final List<Controller> controllers = new ArrayList<>();
    private Optional<Controller> authority = Optional.empty();
    private long epoch;

    /** A request that was executed: when its client sent it, when it reached a replica, and its cost. */
    record Executed(double sentMs, double executedMs, int cost) {}

    /** Defects that the test has to detect. */
    enum Defect {
        NONE,
        NEW_BUCKETS_ARE_FULL,
        TWO_COORDINATORS,
        PROMPT_CHARGED_ONLY,
        LATE_GRANTS_ARE_REUSED,
        RATE_PER_ROUTER
    }

    /**
     * @param routers number of routers
     * @param limit the tenant's limit
     * @param policy the rule on limits
     * @param requestsPerSecond rate of the tenant's requests, over all routers
     * @param longFraction fraction of them that is long
     * @param bursts whether the tenant sends in bursts
     * @param faults whether messages and processes fail
     * @param maxFaultIntervalMs longest time between two faults of processes, milliseconds
     * @param maxOutageMs longest time without a coordinator, milliseconds
     * @param defect the defect that the fleet has
     */
    record Plan(
            int routers,
            QuotaLimit limit,
            QuotaPolicy policy,
            double requestsPerSecond,
            double longFraction,
            boolean bursts,
            boolean faults,
            double maxFaultIntervalMs,
            double maxOutageMs,
            Defect defect) {}

    private final class Router {
        private final SocketAddress address;
        private QuotaClient client;
        private double lateGrantedTokens;
        private double frozenUntilMs;
        private boolean partitioned;
        private int incarnation;

        Router(SocketAddress address) {
            this.address = address;
            start();
        }

        void start() {
            incarnation++;
            double startedMs = events.nowMs() == 0 ? Double.NEGATIVE_INFINITY : events.nowMs();
            FallbackAllowance fallback = new FallbackAllowance(plan.policy, startedMs);
            fallback.setRouterCount(plan.routers, startedMs);
            client = new QuotaClient(
                    new KnownPeers(QuotaFleet.this, anyController()), this::send, fallback, random.split());
        }

        private void send(SocketAddress receiver, Message message) {
            transmit(this.partitioned, address, receiver, message);
        }

        void tick() {
            if (client.hasPendingRequests()) {
                runWhenResumed(() -> client.onTick(events.nowMs()));
            }
        }

        void onArrival(double sentMs, int cost) {
            runWhenResumed(() -> admit(sentMs, cost));
        }

        private void admit(double sentMs, int cost) {
            offered++;
            if (plan.defect == Defect.LATE_GRANTS_ARE_REUSED && lateGrantedTokens >= cost) {
                lateGrantedTokens -= cost;
                execute(sentMs, cost);
                return;
            }
            int admittedInIncarnation = incarnation;
            boolean[] decided = {false};
            PendingGrant pending = client.request(
                    TENANT,
                    plan.limit,
                    plan.defect == Defect.PROMPT_CHARGED_ONLY ? cost / 2 : cost,
                    decision -> {
                        if (decided[0]) {
                            lateGrantedTokens += cost;
                        }
                        decided[0] = true;
                        finish(decision instanceof QuotaDecision.Granted, sentMs, cost);
                    },
                    events.nowMs());
            events.schedule(
                    MAX_WAIT_MS,
                    () -> runWhenResumed(() -> {
                        if (!decided[0] && incarnation == admittedInIncarnation) {
                            decided[0] = true;
                            if (plan.defect != Defect.LATE_GRANTS_ARE_REUSED) {
                                pending.cancel();
                            }
                            finish(pending.tryFallbackAllowance(events.nowMs()), sentMs, cost);
                        }
                    }));
        }

        private void finish(boolean granted, double sentMs, int cost) {
            if (granted) {
                execute(sentMs, cost);
            } else {
                rejected++;
            }
        }

        private void execute(double sentMs, int cost) {
            events.schedule(
                    random.nextDouble(EXECUTION_DELAY_MS),
                    () -> executed.add(new Executed(sentMs, events.nowMs(), cost)));
        }

        /** Runs a task now, or once a frozen process resumes; a restart in between discards it. */
        void runWhenResumed(Runnable task) {
            int scheduledInIncarnation = incarnation;
            if (events.nowMs() >= frozenUntilMs) {
                task.run();
            } else {
                events.schedule(frozenUntilMs - events.nowMs(), () -> {
                    if (incarnation == scheduledInIncarnation) {
                        task.run();
                    }
                });
            }
        }
    }

    /** The peers of one router; routers differ in which controller they take for the primary. */
    private record KnownPeers(QuotaFleet fleet, SocketAddress primaryAddress) implements QuotaPeers {
        @Override
        public Optional<SocketAddress> primary() {
            return Optional.of(primaryAddress);
        }

        @Override
        public List<SocketAddress> controllers() {
            return fleet.controllerAddresses;
        }

        @Override
        public List<SocketAddress> routers() {
            return fleet.routerAddresses;
        }
    }

    private final class Controller {
        private final SocketAddress address;
        private final QuotaCoordinator coordinator = new QuotaCoordinator(plan.policy);
        private double frozenUntilMs;

        Controller(SocketAddress address) {
            this.address = address;
            coordinator.setTenants(List.of(tenant()), 0);
        }

        void onRequest(SocketAddress sender, QuotaRequest request) {
            if (events.nowMs() < frozenUntilMs) {
                events.schedule(frozenUntilMs - events.nowMs(), () -> onRequest(sender, request));
                return;
            }
            boolean mayGrant = plan.defect == Defect.TWO_COORDINATORS || authority.equals(Optional.of(this));
            Optional<SocketAddress> coordinatorAddress =
                    mayGrant ? Optional.of(address) : authority.map(each -> each.address);
            coordinator.setAuthority(mayGrant ? Optional.of(authorityEpoch()) : Optional.empty(), events.nowMs());
            transmit(false, address, sender, coordinator.decide(sender, request, coordinatorAddress, events.nowMs()));
        }

        private long authorityEpoch() {
            return plan.defect == Defect.NEW_BUCKETS_ARE_FULL ? 1 : epoch;
        }
    }

    QuotaFleet(Plan plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        for (int index = 0; index < CONTROLLERS; index++) {
            SocketAddress address = new SocketAddress("10.0.0." + (index + 1), CONTROLLER_PORT);
            controllerAddresses.add(address);
            controllers.add(new Controller(address));
        }
        for (int index = 0; index < plan.routers; index++) {
            SocketAddress address = new SocketAddress("10.1." + index / 250 + "." + index % 250, 7_080);
            routerAddresses.add(address);
            routers.put(address, new Router(address));
        }
    }

    private Tenant tenant() {
        QuotaLimit limit = plan.limit;
        double factor = plan.defect == Defect.RATE_PER_ROUTER ? plan.routers : 1;
        return new Tenant(
                TENANT,
                Set.of(),
                OptionalInt.empty(),
                new QuotaLimit(limit.ratePerSecond() * factor, limit.burstSize() * factor, QuotaUnit.TOKENS, 200));
    }

    /** Runs the simulation for a time; the tenant sends from its start. */
    void run(double durationMs) {
        setAuthority(Optional.of(controllers.get(0)));
        events.repeat(TICK_MS, () -> routers.values().forEach(Router::tick));
        scheduleArrival();
        if (plan.faults) {
            scheduleFault();
            scheduleFailover();
        }
        events.runUntil(durationMs);
    }

    private void setAuthority(Optional<Controller> next) {
        authority = next;
        epoch++;
        next.ifPresent(each -> each.coordinator.setAuthority(Optional.of(each.authorityEpoch()), events.nowMs()));
    }

    /** The current rate. With bursts, quiet periods, in which the bucket fills, alternate with bursts. */
    private double requestsPerSecond() {
        boolean isQuiet = plan.bursts && (long) (events.nowMs() / BURST_MS) % 2 == 0;
        return isQuiet ? plan.requestsPerSecond / 20 : plan.requestsPerSecond;
    }

    private void scheduleArrival() {
        double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond();
        events.schedule(gapMs, () -> {
            int cost = random.nextDouble() < plan.longFraction
                    ? 5_000 + random.nextInt(30_000)
                    : 200 + random.nextInt(400);
            anyRouter().onArrival(events.nowMs(), cost);
            scheduleArrival();
        });
    }

    private Router anyRouter() {
        return routers.get(routerAddresses.get(random.nextInt(routerAddresses.size())));
    }

    private SocketAddress anyController() {
        return controllerAddresses.get(random.nextInt(CONTROLLERS));
    }

    private void scheduleFailover() {
        events.schedule(MIN_AUTHORITY_MS + random.nextDouble(3 * plan.maxOutageMs), () -> {
            setAuthority(Optional.empty());
            events.schedule(random.nextDouble(plan.maxOutageMs), () -> {
                setAuthority(Optional.of(controllers.get(random.nextInt(CONTROLLERS))));
                scheduleFailover();
            });
        });
    }

    private void scheduleFault() {
        events.schedule(random.nextDouble(plan.maxFaultIntervalMs), () -> {
            Router affectedRouter = anyRouter();
            switch (random.nextInt(4)) {
                case 0 -> affectedRouter.frozenUntilMs = events.nowMs() + random.nextDouble(4_000);
                case 1 -> {
                    affectedRouter.partitioned = true;
                    events.schedule(random.nextDouble(5_000), () -> affectedRouter.partitioned = false);
                }
                case 2 -> affectedRouter.start();
                default -> controllers.get(random.nextInt(CONTROLLERS)).frozenUntilMs =
                        events.nowMs() + random.nextDouble(1_500);
            }
            scheduleFault();
        });
    }

    private void transmit(boolean senderPartitioned, SocketAddress sender, SocketAddress receiver, Message message) {
        messages++;
        boolean toController = receiver.port() == CONTROLLER_PORT;
        Router router = routers.get(receiver);
        boolean isPartitioned = toController
                ? senderPartitioned
                : router != null && router.partitioned && sender.port() == CONTROLLER_PORT;
        boolean isLost = plan.faults && random.nextDouble() < 0.03;
        if (isPartitioned || isLost) {
            return;
        }
        deliver(sender, receiver, message);
        if (plan.faults && random.nextDouble() < 0.02) {
            deliver(sender, receiver, message);
        }
    }

    private void deliver(SocketAddress sender, SocketAddress receiver, Message message) {
        boolean isDelayed = plan.faults && random.nextDouble() < 0.02;
        double delayMs = isDelayed ? random.nextDouble(5_000) : 0.2 + random.nextDouble(1.8);
        events.schedule(delayMs, () -> {
            if (message instanceof QuotaRequest request) {
                controllers.stream()
                        .filter(each -> each.address.equals(receiver))
                        .forEach(each -> each.onRequest(sender, request));
            } else {
                Router router = routers.get(receiver);
                router.runWhenResumed(() -> router.client.onMessage(sender, message, events.nowMs()));
            }
        });
    }

    /** The highest cost that was both sent and executed within one window. */
    double highestSum() {
        List<Executed> bySent = executed.stream()
                .sorted((left, right) -> Double.compare(left.sentMs, right.sentMs))
                .toList();
        double highest = 0;
        for (int first = 0; first < bySent.size(); first++) {
            double fromMs = bySent.get(first).sentMs;
            double untilMs = fromMs + plan.policy.windowMs();
            double sum = 0;
            for (int index = first; index < bySent.size() && bySent.get(index).sentMs <= untilMs; index++) {
                sum += bySent.get(index).executedMs <= untilMs ? bySent.get(index).cost : 0;
            }
            highest = Math.max(highest, sum);
        }
        return highest;
    }
}
