package pinewick.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/** Finds ports for the laboratory's processes, below the kernel's ephemeral port range. */
final class FreePorts {
    private static final int MIN_PORT = 20_000;
    private static final int PORT_RANGE = 10_000;
    private static final int MAX_ATTEMPTS = 50;

    private FreePorts() {}

    /** The first port of a consecutive range that is free on all addresses. */
    static int first(int ports) throws IOException {
        SplittableRandom random = new SplittableRandom();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int first = MIN_PORT + random.nextInt(PORT_RANGE / ports) * ports;
            if (allFree(first, ports)) {
                return first;
            }
        }
        throw new IOException("no free port range found");
    }

    private static boolean allFree(int first, int ports) {
        for (int port = first; port < first + ports; port++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("0.0.0.0", port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
