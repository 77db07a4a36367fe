package pinewick.emulator.control;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.model.Message;

/**
 * Faults that leave routers with an old configuration while messages from before a change still arrive: late messages,
 * lost updates, freezes and restarts of routers, routers that reach only one controller; and a primary that is frozen,
 * killed, or partitioned from the other controllers, one after another, but not from the routers.
 */
final class RouterFaults {
    private static final double MAX_DELAY_MS = 1_500;
    private static final double MAX_INTERVAL_MS = 700;
    private static final double MAX_FAULT_MS = 2_500;
    /** Controllers lose contact with the primary one after another within this time. */
    private static final double MAX_STAGGER_MS = 400;

    private final SimulatedSystem system;
    private final FaultInjector faults;
    private final SplittableRandom random;
    private final double endMs;

    RouterFaults(SimulatedSystem system, SplittableRandom random, double endMs) {
        this.system = system;
        this.random = random;
        this.endMs = endMs;
        this.faults = new FaultInjector(system, random.split(), true);
    }

    FaultInjector faults() {
        return faults;
    }

    void start(double firstMs) {
        system.after(firstMs, this::injectNext);
    }

    private void injectNext() {
        if (system.nowMs() >= endMs) {
            return;
        }
        system.slowLinks();
        RouterMachine router =
                system.routers().get(random.nextInt(system.routers().size()));
        double durationMs = random.nextDouble(100, MAX_FAULT_MS);
        switch (random.nextInt(10)) {
            case 0, 1 -> delayMessagesTo(router, durationMs, message -> true);
            case 2 -> delayMessagesTo(router, durationMs, ConfigurationUpdate.class::isInstance);
            case 3 -> limitRouterToOneController(router, durationMs);
            case 4 -> freeze(router, durationMs);
            case 5 -> router.restart();
            case 6, 7 -> system.primary().ifPresent(primary -> delayMessagesFrom(primary, durationMs));
            case 8 -> system.primary().ifPresent(primary -> isolateFromControllers(primary, durationMs));
            default -> system.primary()
                    .flatMap(faults::forDiskSparingFault)
                    .ifPresent(primary -> impair(primary, durationMs));
        }
        system.after(random.nextDouble(20, MAX_INTERVAL_MS), this::injectNext);
    }

    private void impair(ControllerMachine primary, double durationMs) {
        if (random.nextBoolean()) {
            faults.freeze(primary, durationMs);
        } else {
            faults.kill(primary, durationMs);
        }
    }

    private void freeze(RouterMachine router, double durationMs) {
        system.trace(router.host() + " frozen for " + (long) durationMs + " ms");
        router.freeze();
        system.after(durationMs, router::resume);
    }

    /** Messages to a router that are sent from now on arrive late and in any order. */
    private void delayMessagesTo(RouterMachine router, double durationMs, Predicate<Message> matching) {
        system.trace(router.host() + " receives messages late for " + (long) durationMs + " ms");
        for (ControllerMachine controller : system.present()) {
            delay(controller.host(), router.host(), durationMs, matching);
        }
        for (RouterMachine other : system.routers()) {
            delay(other.host(), router.host(), durationMs, matching);
        }
    }

    /** A controller receives messages of the primary late, and so misses changes once it is no longer in sync. */
    private void delayMessagesFrom(ControllerMachine primary, double durationMs) {
        ControllerMachine other = faults.anyController();
        system.trace(other + " receives messages from " + primary + " late for " + (long) durationMs + " ms");
        if (other != primary) {
            delay(primary.host(), other.host(), durationMs, message -> true);
        }
    }

    private void delay(String from, String to, double durationMs, Predicate<Message> matching) {
        system.network().delay(from, to, 0, MAX_DELAY_MS, matching);
        system.after(durationMs, () -> system.network().removeDelay(from, to));
    }

    /** A router reaches only one controller, often the primary, and in some cases the other routers. */
    private void limitRouterToOneController(RouterMachine router, double durationMs) {
        Optional<ControllerMachine> reachable =
                random.nextBoolean() ? system.primary() : Optional.of(faults.anyController());
        system.trace(router.host() + " reaches only " + reachable + " for " + (long) durationMs + " ms");
        for (ControllerMachine controller : system.present()) {
            if (reachable.filter(controller::equals).isEmpty()) {
                faults.partitionBothWays(controller.host(), router.host(), durationMs);
            }
        }
        if (random.nextBoolean()) {
            system.routers().stream()
                    .filter(other -> other != router)
                    .forEach(other -> faults.partitionBothWays(other.host(), router.host(), durationMs));
        }
    }

    /** The other controllers lose contact with the primary, one after another; routers still reach it. */
    private void isolateFromControllers(ControllerMachine primary, double durationMs) {
        system.trace(primary + " is partitioned from the other controllers for " + (long) durationMs + " ms");
        for (ControllerMachine other : system.present()) {
            if (other != primary) {
                system.after(
                        random.nextDouble(MAX_STAGGER_MS),
                        () -> faults.partitionBothWays(primary.host(), other.host(), durationMs));
            }
        }
    }
}
