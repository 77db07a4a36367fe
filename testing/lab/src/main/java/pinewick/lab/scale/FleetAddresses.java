package pinewick.lab.scale;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import pinewick.model.SocketAddress;

/**
 * Listen addresses of a fleet's processes. Each machine has its own loopback address; all use the same ports.
 *
 * @param firstPort the first port of the shared range
 * @param controllers the number of controllers
 */
public record FleetAddresses(int firstPort, int controllers) {
    /** Number of ports that one fleet needs. */
    static final int PORTS = 8;

    /** Number of internal ports in the settings; the programs use the first two. */
    static final int INTERNAL_PORTS = 4;

    private static final int CONTROL_PLANE = 4;
    private static final int FRONTEND = 5;
    private static final int READINESS = 6;
    private static final int REPLICAS_PER_SUBNET = 200;
    private static final int FIRST_REPLICA_SUBNET = 100;
    private static final int REPLICA_PORT = 8_080;

    /** Addresses on ports that are free. */
    public static FleetAddresses free(int controllers) throws IOException {
        return new FleetAddresses(FreePorts.first(PORTS), controllers);
    }

    static String controllerHost(int number) {
        return "127.0.10." + (1 + number);
    }

    static String routerHost(int number) {
        return "127.0.11." + (1 + number);
    }

    static String hollowHost(int worker, int number) {
        return "127.0." + (20 + worker) + "." + (1 + number);
    }

    /** The address of the hollow controller. */
    SocketAddress observer() {
        return new SocketAddress("127.0.10.100", firstPort + 1);
    }

    /** Where a controller receives internal messages. */
    public SocketAddress controller(int number) {
        return new SocketAddress(controllerHost(number), firstPort + 1);
    }

    /** Where a controller accepts HTTP requests of replicas and operators. */
    public SocketAddress controlPlane(int number) {
        return new SocketAddress(controllerHost(number), firstPort + CONTROL_PLANE);
    }

    public SocketAddress frontend(int number) {
        return new SocketAddress(routerHost(number), firstPort + FRONTEND);
    }

    public SocketAddress readiness(int number) {
        return new SocketAddress(routerHost(number), firstPort + READINESS);
    }

    /** The address that a replica announces; nothing listens there. */
    static String replica(int number) {
        int subnet = FIRST_REPLICA_SUBNET + number / REPLICAS_PER_SUBNET;
        return "127.0." + subnet + "." + (1 + number % REPLICAS_PER_SUBNET) + ":" + REPLICA_PORT;
    }

    /** Internal addresses of the controllers, which are the seeds of all processes. */
    List<SocketAddress> seeds() {
        return IntStream.range(0, controllers).mapToObj(this::controller).toList();
    }

    /** The control plane addresses of all controllers. */
    public List<SocketAddress> controlPlanes() {
        return IntStream.range(0, controllers).mapToObj(this::controlPlane).toList();
    }
}
