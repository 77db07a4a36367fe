package pinewick.emulator.control;

import java.util.SplittableRandom;
import pinewick.model.SocketAddress;

/** A machine with a router's process that ends and starts again at times. */
final class RouterMachine {
    private static final int INTERNAL_PORT = 7720;

    private final ControlWorld world;
    private final SocketAddress address;
    private final SplittableRandom random;
    private RouterLife life;
    private double lastTroubleMs = Double.NEGATIVE_INFINITY;

    RouterMachine(ControlWorld world, int number, SplittableRandom random) {
        this.world = world;
        this.address = new SocketAddress("10.2.0." + number, INTERNAL_PORT);
        this.random = random;
        world.network().listen(address, (sender, message) -> life.onMessage(sender, message));
        life = new RouterLife(world, address, world.seeds(), random.split());
    }

    static boolean isRouter(SocketAddress address) {
        return address.port() == INTERNAL_PORT;
    }

    String host() {
        return address.host();
    }

    RouterLife life() {
        return life;
    }

    void restart() {
        world.note(host() + " restarts");
        life.end();
        life = new RouterLife(world, address, world.seeds(), random.split());
    }

    /** It could not reach the controllers at this moment. */
    void troubled() {
        lastTroubleMs = world.nowMs();
    }

    /** Whether it ran, and reached every controller that matters, from {@code sinceMs} on. */
    boolean calmSince(double sinceMs) {
        return lastTroubleMs < sinceMs && life.startedAtMs() < sinceMs;
    }
}
