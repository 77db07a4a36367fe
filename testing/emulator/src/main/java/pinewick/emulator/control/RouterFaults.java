package pinewick.emulator.control;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.model.Message;

/**
 * Faults that leave routers with an old configuration while messages from before a change still arrive: late messages,
 * lost updates, freezes and restarts of routers, routers in touch with one controller alone; and a primary that is
 * frozen, killed, or cut off from the other controllers alone, one after the other.
 */
final class RouterFaults {
    private static final double MAX_DELAY_MS = 1_500;
    private static final double MAX_INTERVAL_MS = 700;
    private static final double MAX_FAULT_MS = 2_500;
    /** Controllers lose a primary one after the other within this time. */
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
        double forMs = random.nextDouble(100, MAX_FAULT_MS);
        switch (random.nextInt(10)) {
            case 0, 1 -> delayMessagesTo(router, forMs, message -> true);
            case 2 -> delayMessagesTo(router, forMs, ConfigurationUpdate.class::isInstance);
            case 3 -> keepInTouchWithOne(router, forMs);
            case 4 -> freeze(router, forMs);
            case 5 -> router.restart();
            case 6, 7 -> system.primary().ifPresent(primary -> delayMessagesFrom(primary, forMs));
            case 8 -> system.primary().ifPresent(primary -> separate(primary, forMs));
            default -> system.primary()
                    .flatMap(faults::forDiskSparingFault)
                    .ifPresent(primary -> disturb(primary, forMs));
        }
        system.after(random.nextDouble(20, MAX_INTERVAL_MS), this::injectNext);
    }

    private void disturb(ControllerMachine primary, double forMs) {
        if (random.nextBoolean()) {
            faults.freeze(primary, forMs);
        } else {
            faults.kill(primary, forMs);
        }
    }

    private void freeze(RouterMachine router, double forMs) {
        system.trace(router.host() + " frozen for " + (long) forMs + " ms");
        router.freeze();
        system.after(forMs, router::resume);
    }

    /** Messages to a router that are sent from now on arrive late and in any order. */
    private void delayMessagesTo(RouterMachine router, double forMs, Predicate<Message> concerned) {
        system.trace(router.host() + " hears late for " + (long) forMs + " ms");
        for (ControllerMachine controller : system.present()) {
            delay(controller.host(), router.host(), forMs, concerned);
        }
        for (RouterMachine other : system.routers()) {
            delay(other.host(), router.host(), forMs, concerned);
        }
    }

    /** A controller hears the primary late, and so misses changes once it is no longer in sync. */
    private void delayMessagesFrom(ControllerMachine primary, double forMs) {
        ControllerMachine other = faults.anyController();
        system.trace(other + " hears " + primary + " late for " + (long) forMs + " ms");
        if (other != primary) {
            delay(primary.host(), other.host(), forMs, message -> true);
        }
    }

    private void delay(String from, String to, double forMs, Predicate<Message> concerned) {
        system.network().delay(from, to, 0, MAX_DELAY_MS, concerned);
        system.after(forMs, () -> system.network().removeDelay(from, to));
    }

    /** A router reaches one controller, often the primary, and at times the other routers. */
    private void keepInTouchWithOne(RouterMachine router, double forMs) {
        Optional<ControllerMachine> kept =
                random.nextBoolean() ? system.primary() : Optional.of(faults.anyController());
        system.trace(router.host() + " reaches " + kept + " alone for " + (long) forMs + " ms");
        for (ControllerMachine controller : system.present()) {
            if (kept.filter(controller::equals).isEmpty()) {
                faults.partitionBothWays(controller.host(), router.host(), forMs);
            }
        }
        if (random.nextBoolean()) {
            system.routers().stream()
                    .filter(other -> other != router)
                    .forEach(other -> faults.partitionBothWays(other.host(), router.host(), forMs));
        }
    }

    /** The other controllers lose the primary, one after the other; routers stay in touch with it. */
    private void separate(ControllerMachine primary, double forMs) {
        system.trace(primary + " loses the other controllers for " + (long) forMs + " ms");
        for (ControllerMachine other : system.present()) {
            if (other != primary) {
                system.after(
                        random.nextDouble(MAX_STAGGER_MS),
                        () -> faults.partitionBothWays(primary.host(), other.host(), forMs));
            }
        }
    }
}
