package pinewick.emulator.control;

import java.util.SplittableRandom;
import pinewick.model.SocketAddress;

/** A machine with a router's process, which may be restarted. */
final class RouterMachine {
    private static final int INTERNAL_PORT = 7720;

    private final SimulatedSystem system;
    private final SocketAddress address;
    private final SplittableRandom random;
    private RouterProcess process;
    private double lastFaultMs = Double.NEGATIVE_INFINITY;

    RouterMachine(SimulatedSystem system, int number, SplittableRandom random) {
        this.system = system;
        this.address = new SocketAddress("10.2.0." + number, INTERNAL_PORT);
        this.random = random;
        system.network().listen(address, (sender, message) -> process.onMessage(sender, message));
        process = new RouterProcess(system, address, system.seeds(), random.split());
    }

    static boolean isRouter(SocketAddress address) {
        return address.port() == INTERNAL_PORT;
    }

    String host() {
        return address.host();
    }

    RouterProcess process() {
        return process;
    }

    void restart() {
        system.trace(host() + " restarts");
        process.stop();
        process = new RouterProcess(system, address, system.seeds(), random.split());
    }

    void freeze() {
        process.freeze();
    }

    void resume() {
        process.resume();
    }

    /** Records that it cannot reach the controllers at this moment. */
    void onFault() {
        lastFaultMs = system.nowMs();
    }

    /** Whether it has been running and reaching the majority since {@code sinceMs}. */
    boolean isUndisturbedSince(double sinceMs) {
        return lastFaultMs < sinceMs && process.startedAtMs() < sinceMs;
    }
}
