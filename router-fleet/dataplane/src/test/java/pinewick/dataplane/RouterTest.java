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

/** A whole router beside the fleet node of one controller, over sockets of this machine. */
class RouterTest {
    private static final String LOOPBACK = "127.0.0.1";

    private final FleetState known = new FleetState();
    private final ControlLoop loop = new ControlLoop();
    private NetworkTransport transport;
    private FleetNode controller;
    private NodeSettings settings;
    private Router router;
    private volatile boolean quorumContact = true;

    @BeforeEach
    void start() throws Exception {
        int first = freePorts(4);
        settings = settings(first);
        SocketAddress address = new SocketAddress(LOOPBACK, settings.controllerPort());
        transport = new NetworkTransport(address, new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes()));
        NodeDescriptor self = new NodeDescriptor(address, 1, NodeRole.CONTROLLER, "zone");
        controller = new FleetNode(self, List.of(address), known, transport, new Random(1));
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
    void isReadyOnceSynchronisedAndCompletesRequestsInFlightWhenStopped() throws Exception {
        assertEquals(503, ready());
        try (ScriptedReplica replica = new ScriptedReplica("i-1", "plain", Stage.NONE)) {
            startServing(replica);
            RawSocket client =
                    RawSocket.connect(settings.frontend().orElseThrow().port());
            client.send(TestRouter.request("POST", "/plain/x", "q1", "body"));
            RawSocket upstream = acceptRequest(replica);
            router.settingsChanged(settings);
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(router::stop);
            while (ready() != 503) {
                Thread.onSpinWait();
            }
            RawSocket late = RawSocket.connect(settings.frontend().orElseThrow().port());
            late.send(TestRouter.request("POST", "/none/x", "q2", "body"));
            HttpText.Message refused = late.read();
            assertEquals(404, refused.status());
            assertEquals("close", refused.field("Connection"));
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
    void withoutAConfirmedConfigurationAnUnknownRouteGets503And404Otherwise() throws Exception {
        quorumContact = false;
        known.offer(configuration());
        startController();
        awaitReady();
        assertEquals(503, statusOfUnknownRoute());
        quorumContact = true;
        awaitNotFound();
    }

    /** Returns once the router knows the replica, and that its configuration is the newest. */
    private void startServing(ScriptedReplica replica) throws Exception {
        known.offer(configuration());
        known.merge(replica.record());
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
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (statusOfUnknownRoute() != 404) {
            assertTrue(System.nanoTime() < until, "configuration not confirmed in time");
        }
    }

    private int statusOfUnknownRoute() throws IOException {
        try (RawSocket client =
                RawSocket.connect(settings.frontend().orElseThrow().port())) {
            client.send(TestRouter.request("POST", "/none/x", "q0", "body"));
            return client.read().status();
        }
    }

    /** The connection on which the client's request comes; the router asks for load reports on others. */
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
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (ready() != 200) {
            assertTrue(System.nanoTime() < until, "not ready in time");
        }
    }

    private int ready() throws IOException {
        try (RawSocket platform =
                RawSocket.connect(settings.readiness().orElseThrow().port())) {
            platform.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            return platform.read().status();
        }
    }

    /** The first of some neighbouring ports that are free for TCP and UDP. */
    private static int freePorts(int count) throws IOException {
        Random random = new Random();
        while (true) {
            int first = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int port = first; port < first + count && free; port++) {
                free = isFree(port);
            }
            if (free) {
                return first;
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

    private static NodeSettings settings(int first) {
        return new NodeSettings(
                "frontend-1",
                "router",
                List.of("frontend"),
                LOOPBACK,
                "zone",
                "region",
                first,
                first + 1,
                List.of(new SocketAddress(LOOPBACK, first + 9)),
                true,
                false,
                Optional.empty(),
                1_200,
                Map.of("zone", "region"),
                Optional.of(new SocketAddress(LOOPBACK, first + 2)),
                Optional.of(new SocketAddress(LOOPBACK, first + 3)),
                Optional.empty(),
                new NodeSettings.MachineLimits(0.75, 1, 430, 4100, 1000, 0),
                1,
                new NodeSettings.Bounds(
                        3, 2, 3000, 4000, 4, 2000, 6, 200, 2000, 250, 0.2, 10, 58, 12, 120, 4.6, false, 3000, 300, 5000,
                        false, 5000, 8, 0.1, 0));
    }
}
