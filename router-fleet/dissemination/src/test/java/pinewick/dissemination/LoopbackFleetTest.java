package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.transport.ControlLoop;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.TransportException;

/** Runs three controllers and nine routers over loopback sockets. */
class LoopbackFleetTest {
    private static final long TIMEOUT_SECONDS = 30;

    private final List<RunningNode> nodes = new ArrayList<>();

    /** A process of the fleet, with its own control loop, sockets and state. */
    private static final class RunningNode {
        private final FleetState state = new FleetState();
        private final ControlLoop loop = new ControlLoop();
        private final NetworkTransport transport;
        private FleetNode node;

        RunningNode() throws TransportException {
            transport = new NetworkTransport(
                    new SocketAddress("127.0.0.1", 0),
                    new MessageCodec(FleetMessages.types(), FleetMessages.laterTypes()));
        }

        void start(NodeRole role, List<SocketAddress> seeds) {
            NodeDescriptor self = new NodeDescriptor(transport.localAddress(), 1, role, "zone");
            node = new FleetNode(
                    self,
                    seeds,
                    state,
                    transport,
                    new Random(transport.localAddress().port()));
            transport.start((sender, message) -> loop.execute(() -> node.onMessage(sender, message, loop.nowMs())));
            loop.repeat(() -> node.onTick(loop.nowMs()), FleetNode.TICK_MS);
        }

        void close() {
            transport.close();
            loop.close();
        }
    }

    @AfterEach
    void closeAll() {
        nodes.forEach(RunningNode::close);
    }

    private void startFleet(int controllers, int routers) throws TransportException {
        for (int i = 0; i < controllers + routers; i++) {
            nodes.add(new RunningNode());
        }
        List<SocketAddress> seeds = nodes.subList(0, controllers).stream()
                .map(node -> node.transport.localAddress())
                .toList();
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).start(i < controllers ? NodeRole.CONTROLLER : NodeRole.ROUTER, seeds);
        }
    }

    private void awaitAll(List<CountDownLatch> latches) throws InterruptedException {
        for (CountDownLatch latch : latches) {
            assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void smallAndLargeConfigurationsAndDrainsReachEveryProcess() throws Exception {
        startFleet(3, 9);
        commitAndAwait(TestDocuments.withRoutes(3, 2));
        commitAndAwait(TestDocuments.withRoutes(9, 400));
        ReplicaRecord ready = TestRecords.ready("i-1", 1);
        publishAndAwait(ready);
        publishAndAwait(TestRecords.draining(ready, 2));
    }

    private void commitAndAwait(ConfigurationDocument document) throws InterruptedException {
        List<CountDownLatch> latches = nodes.stream()
                .map(node -> latch(node, listener -> new FleetStateListener() {
                    @Override
                    public void onConfigurationChanged(ConfigurationDocument changed) {
                        if (changed.equals(document)) {
                            listener.countDown();
                        }
                    }
                }))
                .toList();
        RunningNode origin = nodes.get(0);
        origin.loop.execute(() -> {
            origin.state.offer(document);
            origin.node.publishConfiguration(origin.loop.nowMs());
        });
        awaitAll(latches);
    }

    private void publishAndAwait(ReplicaRecord record) throws InterruptedException {
        List<CountDownLatch> latches = new ArrayList<>(nodes.stream()
                .map(node -> latch(node, listener -> new FleetStateListener() {
                    @Override
                    public void onReplicaChanged(ReplicaRecord changed) {
                        if (changed.equals(record)) {
                            listener.countDown();
                        }
                    }
                }))
                .toList());
        CountDownLatch acknowledged = new CountDownLatch(1);
        latches.add(acknowledged);
        RunningNode origin = nodes.get(1);
        origin.loop.execute(
                () -> origin.node.publishUntilAcknowledged(record, acknowledged::countDown, origin.loop.nowMs()));
        awaitAll(latches);
    }

    private static CountDownLatch latch(RunningNode node, Function<CountDownLatch, FleetStateListener> listener) {
        CountDownLatch latch = new CountDownLatch(1);
        node.state.addListener(listener.apply(latch));
        return latch;
    }
}
