package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.transport.ControlLoop;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;

/** A complete router with the fleet node of one controller, over loopback sockets. */
class RouterTest {
    private static final String LOOPBACK = "127.0.0.1";

    private final FleetState controllerState = new FleetState();
    private final ControlLoop loop = new ControlLoop();
    private NetworkTransport transport;
    private FleetNode controller;
    private NodeSettings settings;
    private Router router;
    private volatile boolean quorumContact = true;

    @BeforeEach
    void start() throws Exception {
        int firstPort = freePorts(4);
        settings = settings(firstPort);
        SocketAddress address = new SocketAddress(LOOPBACK, settings.controllerPort());
        transport = new NetworkTransport(address, new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes()));
        NodeDescriptor self = new NodeDescriptor(address, 1, NodeRole.CONTROLLER, "zone");
        controller = new FleetNode(self, List.of(address), controllerState, transport, new Random(1));
        router = new Router(settings);
        router.start();
    }

    private void startController() {
        transport.start((sender, message) -> loop.execute(() -> controller.onMessage(sender, message, loop.nowMs())));
        loop.repeat(this::tickController, FleetNode.TICK_MS);
    }

    private void tickController() {
        controller.onTick(loop.nowMs());
        if (quorumContact) {
            controller.confirmConfiguration(loop.nowMs());
        }
    }

    @AfterEach
    void stop() {
        router.stop();
        transport.close();
        loop.close();
    }

    @Test
    void isReadyOnceSynchronizedAndCompletesRequestsInFlightWhenStopped() throws Exception {
        assertEquals(503, readinessStatus());
        try (ScriptedReplica replica = new ScriptedReplica("i-1", "plain", Stage.NONE)) {
            startServing(replica);
            RawSocket client =
                    RawSocket.connect(settings.frontend().orElseThrow().port());
            client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
            RawSocket upstream = acceptRequest(replica);
            router.settingsChanged(settings);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(router::stop);
            while (readinessStatus() != 503) {
                Thread.onSpinWait();
            }
            RawSocket lateClient =
                    RawSocket.connect(settings.frontend().orElseThrow().port());
            lateClient.send(TestRouter.request("POST", "/none/x", "q2", "body"));
            HttpText.Message rejection = lateClient.read();
            assertEquals(404, rejection.status());
            assertEquals("close", rejection.field("Connection"));
            upstream.send(ScriptedReplica.response(200, "q1", "done"));
            assertEquals("done", client.read().body());
            stopped.get(20, TimeUnit.SECONDS);
            assertTrue(client.isClosedByPeer());
        }
    }

    @Test
    void stopRejectsLateRequestsAndWaitsForThoseInFlight() throws Exception {
        try (ScriptedReplica replica = new ScriptedReplica("i-1", "plain", Stage.NONE)) {
            startServing(replica);
            RawSocket client =
                    RawSocket.connect(settings.frontend().orElseThrow().port());
            client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
            RawSocket upstream = acceptRequest(replica);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(router::stop);
            while (statusOfUnknownRoute() != 503) {
                Thread.onSpinWait();
            }
            assertFalse(stopped.isDone());
            upstream.send(ScriptedReplica.response(200, "q1", "done"));
            assertEquals("done", client.read().body());
            stopped.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void anUnknownRouteGets503WithoutAConfirmedConfigurationAnd404Otherwise() throws Exception {
        quorumContact = false;
        controllerState.offer(configuration());
        startController();
        awaitReady();
        assertEquals(503, statusOfUnknownRoute());
        quorumContact = true;
        awaitNotFound();
    }

    /** Returns once the router knows the replica and its configuration is confirmed as the newest. */
    private void startServing(ScriptedReplica replica) throws Exception {
        controllerState.offer(configuration());
        controllerState.merge(replica.record());
        startController();
        awaitReady();
        awaitNotFound();
    }

    private static ConfigurationDocument configuration() throws InvalidConfigurationException {
        return ConfigurationChecks.parseReplacement(("{\"version\":3,\"routes\":["
                        + TestRouter.plainRoute("non_idempotent", 1)
                        + "],\"services\":[{\"name\":\"plain\",\"health_check_path\":\"/health\","
                        + "\"max_connections\":40,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}")
                .getBytes(StandardCharsets.UTF_8));
    }

    private void awaitNotFound() throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (statusOfUnknownRoute() != 404) {
            assertTrue(System.nanoTime() < deadlineNanos, "configuration not confirmed in time");
        }
    }

    private int statusOfUnknownRoute() throws IOException {
        try (RawSocket client =
                RawSocket.connect(settings.frontend().orElseThrow().port())) {
            client.send(TestRouter.request("POST", "/none/x", "q0", "body"));
            return client.read().status();
        }
    }

    /** The connection on which the client's request arrives; the router polls for load reports on others. */
    private static RawSocket acceptRequest(ScriptedReplica replica) throws IOException {
        while (true) {
            RawSocket upstream = replica.accept();
            if (!upstream.read().firstLine().startsWith("GET /report ")) {
                return upstream;
            }
            upstream.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    private void awaitReady() throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (readinessStatus() != 200) {
            assertTrue(System.nanoTime() < deadlineNanos, "not ready in time");
        }
    }

    private int readinessStatus() throws IOException {
        try (RawSocket client =
                RawSocket.connect(settings.readiness().orElseThrow().port())) {
            client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            return client.read().status();
        }
    }

    /** The first of {@code count} consecutive ports that are free for TCP and UDP. */
    private static int freePorts(int count) throws IOException {
        Random random = new Random();
        while (true) {
            int firstPort = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int port = firstPort; port < firstPort + count && free; port++) {
                free = isFree(port);
            }
            if (free) {
                return firstPort;
            }
        }
    }

    private static boolean isFree(int port) {
        InetAddress local = new InetSocketAddress(LOOPBACK, port).getAddress();
        try (ServerSocket tcp = new ServerSocket(port, 1, local);
                DatagramSocket udp = new DatagramSocket(port, local)) {
            return tcp.isBound() && udp.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static NodeSettings settings(int firstPort) {
        return new NodeSettings(
                "frontend-1",
                "router",
                List.of("frontend"),
                LOOPBACK,
                "zone",
                "region",
                firstPort,
                firstPort + 1,
                List.of(new SocketAddress(LOOPBACK, firstPort + 9)),
                true,
                false,
                Optional.empty(),
                1_200,
                Map.of("zone", "region"),
                Optional.of(new SocketAddress(LOOPBACK, firstPort + 2)),
                Optional.of(new SocketAddress(LOOPBACK, firstPort + 3)),
                Optional.empty(),
                new NodeSettings.MachineLimits(0.75, 1, 430, 4100, 1000, 0),
                1,
                new NodeSettings.Bounds(
                        3, 2, 3000, 4000, 4, 2000, 6, 200, 2000, 250, 0.2, 10, 58, 12, 120, 4.6, false, 3000, 300, 5000,
                        false, 5000, 8, 0.1, 0));
    }
}
