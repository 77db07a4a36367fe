package pinewick.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;

/** A hollow replica fails over if its first controller is down. */
class ReplicaSwarmTest {
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void failsOverToTheNextControllerAndDrainsThere() throws Exception {
        try (ServerSocket unavailable = listen();
                ServerSocket controller = listen()) {
            unavailable.close();
            CountDownLatch drained = new CountDownLatch(1);
            Thread server = new Thread(() -> serve(controller, drained), "controller");
            server.setDaemon(true);
            server.start();
            try (ReplicaSwarm swarm = new ReplicaSwarm(1, List.of(address(unavailable), address(controller)), 1)) {
                swarm.execute(0, replica -> replica.drain(HollowReplica.nowMs()));
                assertTrue(drained.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertTrue(swarm.takeHeartbeats().failed() >= 1);
                assertEquals("i-10000000", swarm.replica(0).instanceId());
            }
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    }

    private static SocketAddress address(ServerSocket socket) {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    /** Responds to each read as one request; counts down when a request contains the draining state. */
    private static void serve(ServerSocket listener, CountDownLatch drained) {
        byte[] response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);
        byte[] request = new byte[4_096];
        try (Socket socket = listener.accept();
                InputStream input = socket.getInputStream()) {
            for (int count = input.read(request); count > 0; count = input.read(request)) {
                socket.getOutputStream().write(response);
                if (new String(request, 0, count, StandardCharsets.US_ASCII).contains("\"draining\"")) {
                    drained.countDown();
                }
            }
        } catch (IOException e) {
            return; // the test has finished
        }
    }
}
