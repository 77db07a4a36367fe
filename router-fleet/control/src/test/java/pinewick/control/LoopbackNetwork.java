package pinewick.control;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/**
 * Settings of controllers on the loopback network. Each controller has an address of its own, and all use the same
 * ports, as controllers on different machines do.
 */
final class LoopbackNetwork {
    /** Ports are checked to be free on the addresses of this many controllers. */
    private static final int MAX_MACHINES = 4;

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int CONTACT_MS = 1_000;
    private static final int HEARTBEAT_MS = 400;

    private final int apiPort;
    private final int internalPort;

    LoopbackNetwork() throws IOException {
        apiPort = freePort();
        internalPort = freePort();
    }

    private static int freePort() throws IOException {
        while (true) {
            int port = ephemeralPort();
            if (IntStream.rangeClosed(1, MAX_MACHINES).allMatch(machine -> isFree(machine, port))) {
                return port;
            }
        }
    }

    private static int ephemeralPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host(1)))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until a closed controller has released its internal address. */
    void awaitReleased(int machine) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!isFree(machine, internalPort)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("machine " + machine + " has not released its internal address in time");
            }
            Thread.onSpinWait();
        }
    }

    private static boolean isFree(int machine, int port) {
        InetSocketAddress address = new InetSocketAddress(host(machine), port);
        try (DatagramSocket datagramSocket = new DatagramSocket(address);
                ServerSocket serverSocket = new ServerSocket()) {
            serverSocket.bind(address);
            return datagramSocket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static String host(int machine) {
        return "127.0.0." + machine;
    }

    /** Address of the operator API of a machine; machines are numbered from 1. */
    SocketAddress api(int machine) {
        return new SocketAddress(host(machine), apiPort);
    }

    /** Settings of the controller on a machine. The seeds are machines 1 to 3. */
    NodeSettings controller(int machine, Path dataDirectory, boolean firstStart) {
        return new NodeSettings(
                "core-" + machine,
                "controller",
                List.of("control_plane"),
                host(machine),
                "zone-" + machine,
                "region",
                internalPort - 1,
                internalPort + 14,
                List.of(api(1), api(2), api(3)),
                firstStart,
                true,
                Optional.of(dataDirectory),
                HEARTBEAT_MS,
                Map.of("zone-" + machine, "region"),
                Optional.empty(),
                Optional.empty(),
                Optional.of(api(machine)),
                new NodeSettings.MachineLimits(0.9, 2, 426, 4_096, 1_000, 128),
                1,
                new NodeSettings.Bounds(
                        3,
                        2,
                        CONTACT_MS,
                        4_000,
                        4,
                        2_000,
                        8,
                        200,
                        2_000,
                        250,
                        0.2,
                        10,
                        58,
                        12,
                        120,
                        4.6,
                        false,
                        3_000,
                        300,
                        5_000,
                        false,
                        5_000,
                        8,
                        0.1,
                        0));
    }
}
