package pinewick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;

/** Transports over the loopback, beside raw sockets that do not behave. */
class NetworkTransportTest {
    private static final long LIMIT_SECONDS = 20;
    private static final int LARGE_BYTES = 200_000;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Endpoint here;
    private Endpoint there;

    /** A transport whose messages are kept. */
    private static final class Endpoint {
        private final NetworkTransport transport;
        private final BlockingQueue<TestMessage> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<SocketAddress> senders = new LinkedBlockingQueue<>();

        Endpoint(int port) throws TransportException {
            transport =
                    new NetworkTransport(new SocketAddress("127.0.0.1", port), new MessageCodec(TestMessage.types()));
            transport.start((sender, message) -> {
                senders.add(sender);
                received.add((TestMessage) message);
            });
        }

        SocketAddress address() {
            return transport.localAddress();
        }

        TestMessage take() throws InterruptedException {
            TestMessage message = received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(message, "a message within the limit");
            return message;
        }
    }

    private Endpoint endpoint(int port) throws TransportException {
        Endpoint endpoint = new Endpoint(port);
        resources.add(endpoint.transport);
        return endpoint;
    }

    private <T extends AutoCloseable> T closedLater(T resource) {
        resources.add(resource);
        return resource;
    }

    @BeforeEach
    void start() throws TransportException {
        here = endpoint(0);
        there = endpoint(0);
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private static SocketAddress addressOf(ServerSocket server) {
        return new SocketAddress("127.0.0.1", server.getLocalPort());
    }

    /** Sends messages between the two until something holds; each is answered before the next. */
    private void exchangeUntil(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "within the limit");
            here.transport.sendOrdered(there.address(), TestMessage.numbered(1));
            there.take();
        }
    }

    @Test
    void smallMessagesGoAsDatagramsAndCarryTheSendersListeningAddress() throws InterruptedException {
        here.transport.send(there.address(), TestMessage.numbered(7));
        assertEquals(7, there.take().number());
        assertEquals(here.address(), there.senders.take());
        assertEquals(1, there.transport.counters().datagramsReceived());
    }

    @Test
    void largeMessagesGoOverAConnectionAndCarryTheSendersListeningAddress() throws InterruptedException {
        here.transport.send(there.address(), TestMessage.withBody(8, 4 << 20));
        TestMessage message = there.take();
        assertEquals(8, message.number());
        assertEquals(4 << 20, message.body().length);
        assertEquals(here.address(), there.senders.take());
        assertEquals(1, there.transport.counters().framesReceived());
    }

    @Test
    void messagesSentInOrderArriveInOrderWhateverTheirSize() throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            here.transport.sendOrdered(there.address(), TestMessage.withBody(i, i % 10 == 0 ? 20_000 : 0));
        }
        for (int i = 0; i < 300; i++) {
            assertEquals(i, there.take().number());
        }
        assertEquals(0, there.transport.counters().datagramsReceived());
    }

    @Test
    void aMessageToSeveralPeersReachesEachOfThemOnce() throws Exception {
        Endpoint third = endpoint(0);
        here.transport.sendToAll(List.of(there.address(), third.address()), TestMessage.numbered(5));
        assertEquals(5, there.take().number());
        assertEquals(5, third.take().number());
        assertEquals(2, here.transport.counters().datagramsSent());
    }

    @Test
    void messagesToTheSenderItselfArrive() throws InterruptedException {
        here.transport.send(here.address(), TestMessage.numbered(1));
        here.transport.sendOrdered(here.address(), TestMessage.numbered(2));
        assertEquals(3, here.take().number() + here.take().number());
    }

    @Test
    void aPeerThatDoesNotReadDelaysNoOtherAndIsReconnected() throws Exception {
        ServerSocket server = closedLater(new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1")));
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
        for (int i = 0; i < 200; i++) {
            here.transport.send(addressOf(server), TestMessage.withBody(i, LARGE_BYTES));
        }
        Socket stuck = closedLater(server.accept());
        here.transport.send(there.address(), TestMessage.withBody(1, LARGE_BYTES));
        assertEquals(1, there.take().number());
        assertTrue(here.transport.counters().dropped() > 0, "the queue of the stuck peer is bounded");
        here.transport.send(addressOf(server), TestMessage.withBody(201, LARGE_BYTES));
        exchangeUntil(() -> here.transport.counters().failedConnections() > 0);
        here.transport.send(addressOf(server), TestMessage.withBody(202, LARGE_BYTES));
        closedLater(server.accept());
        assertTrue(stuck.isConnected());
    }

    @Test
    void aPeerThatDoesNotAcceptTimesOutAndDelaysNoOther() throws Exception {
        ServerSocket full = closedLater(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        for (int i = 0; i < 4; i++) {
            SocketChannel filler = closedLater(SocketChannel.open());
            filler.configureBlocking(false);
            filler.connect(full.getLocalSocketAddress());
        }
        here.transport.send(addressOf(full), TestMessage.withBody(1, LARGE_BYTES));
        exchangeUntil(() -> here.transport.counters().failedConnections() > 0);
    }

    @Test
    void aRestartedPeerIsReconnected() throws Exception {
        here.transport.sendOrdered(there.address(), TestMessage.numbered(1));
        assertEquals(1, there.take().number());
        int port = there.address().port();
        long failures = here.transport.counters().failedConnections();
        there.transport.close();
        there = endpoint(0);
        exchangeUntil(() -> here.transport.counters().failedConnections() > failures);
        Endpoint again = endpoint(port);
        here.transport.sendOrdered(again.address(), TestMessage.numbered(2));
        assertEquals(2, again.take().number());
    }

    @Test
    void malformedFramesAreCountedAndTheLoopContinues() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        int port = there.address().port();
        try (DatagramSocket socket = new DatagramSocket()) {
            for (byte[] bytes : List.of(new byte[0], new byte[] {1}, new byte[] {9, 9, 9, 9}, new byte[500])) {
                socket.send(new DatagramPacket(bytes, bytes.length, host, port));
            }
        }
        try (Socket socket = new Socket(host, port)) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(5);
            out.write(new byte[5]);
            out.writeInt(Integer.MAX_VALUE);
            out.flush();
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
            byte[] confirmations = socket.getInputStream().readAllBytes();
            assertTrue(confirmations.length <= 1, "a frame of an absurd length ends the connection, unconfirmed");
        }
        exchangeUntil(() -> there.transport.counters().malformed() == 6);
    }

    @Test
    void aFrameThatArrivesInChunksIsReassembled() throws Exception {
        byte[] frame = new MessageCodec(TestMessage.types()).encode(4_000, TestMessage.withBody(3, 30));
        try (Socket socket = new Socket("127.0.0.1", there.address().port())) {
            socket.setTcpNoDelay(true);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (int copy = 0; copy < 3; copy++) {
                out.writeInt(frame.length);
                for (byte piece : frame) {
                    out.write(piece);
                    out.flush();
                }
            }
            for (int copy = 0; copy < 3; copy++) {
                assertEquals(3, there.take().number());
            }
        }
        assertEquals(new SocketAddress("127.0.0.1", 4_000), there.senders.take());
    }

    @Test
    void aReceiverThatThrowsDoesNotEndTheLoop() throws Exception {
        BlockingQueue<Long> numbers = new LinkedBlockingQueue<>();
        NetworkTransport throwing = closedLater(
                new NetworkTransport(new SocketAddress("127.0.0.1", 0), new MessageCodec(TestMessage.types())));
        throwing.start((sender, message) -> {
            numbers.add(((TestMessage) message).number());
            throw new IllegalStateException("on purpose");
        });
        for (int i = 0; i < 3; i++) {
            here.transport.sendOrdered(throwing.localAddress(), TestMessage.numbered(i));
        }
        for (long i = 0; i < 3; i++) {
            assertEquals(i, numbers.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void anAddressInUseIsReportedWithTheStep() {
        TransportException failure = assertThrows(
                TransportException.class,
                () -> new NetworkTransport(here.address(), new MessageCodec(TestMessage.types())));
        assertEquals(here.address(), failure.address());
        assertTrue(failure.getMessage().startsWith("bind at 127.0.0.1:"));
    }
}
