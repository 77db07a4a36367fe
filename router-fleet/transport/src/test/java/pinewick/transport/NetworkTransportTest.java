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

/** Tests transports on loopback, together with misbehaving raw sockets. */
class NetworkTransportTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int LARGE_BYTES = 200_000;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Endpoint sender;
    private Endpoint receiver;

    /** A transport that records the messages it receives. */
    private static final class Endpoint {
        private final NetworkTransport transport;
        private final BlockingQueue<TestMessage> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<SocketAddress> senders = new LinkedBlockingQueue<>();

        Endpoint(int port) throws TransportException {
            transport =
                    new NetworkTransport(new SocketAddress("127.0.0.1", port), new MessageCodec(TestMessage.types()));
            transport.start((senderAddress, message) -> {
                senders.add(senderAddress);
                received.add((TestMessage) message);
            });
        }

        SocketAddress address() {
            return transport.localAddress();
        }

        TestMessage take() throws InterruptedException {
            TestMessage message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(message, "no message within the time-out");
            return message;
        }
    }

    private Endpoint endpoint(int port) throws TransportException {
        Endpoint endpoint = new Endpoint(port);
        resources.add(endpoint.transport);
        return endpoint;
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    @BeforeEach
    void start() throws TransportException {
        sender = endpoint(0);
        receiver = endpoint(0);
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

    /** Sends messages from the sender to the receiver, one at a time, until the condition is true. */
    private void exchangeUntil(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "condition not met within the time-out");
            sender.transport.sendOrdered(receiver.address(), TestMessage.numbered(1));
            receiver.take();
        }
    }

    @Test
    void sendsSmallMessagesAsDatagramsWithTheListeningAddress() throws InterruptedException {
        sender.transport.send(receiver.address(), TestMessage.numbered(7));
        assertEquals(7, receiver.take().number());
        assertEquals(sender.address(), receiver.senders.take());
        assertEquals(1, receiver.transport.counters().datagramsReceived());
    }

    @Test
    void sendsLargeMessagesOverAConnectionWithTheListeningAddress() throws InterruptedException {
        sender.transport.send(receiver.address(), TestMessage.withBody(8, 4 << 20));
        TestMessage message = receiver.take();
        assertEquals(8, message.number());
        assertEquals(4 << 20, message.body().length);
        assertEquals(sender.address(), receiver.senders.take());
        assertEquals(1, receiver.transport.counters().framesReceived());
    }

    @Test
    void deliversOrderedMessagesOfAnySizeInOrder() throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            sender.transport.sendOrdered(receiver.address(), TestMessage.withBody(i, i % 10 == 0 ? 20_000 : 0));
        }
        for (int i = 0; i < 300; i++) {
            assertEquals(i, receiver.take().number());
        }
        assertEquals(0, receiver.transport.counters().datagramsReceived());
    }

    @Test
    void deliversAMessageToSeveralPeersOnceEach() throws Exception {
        Endpoint secondReceiver = endpoint(0);
        sender.transport.sendToAll(List.of(receiver.address(), secondReceiver.address()), TestMessage.numbered(5));
        assertEquals(5, receiver.take().number());
        assertEquals(5, secondReceiver.take().number());
        assertEquals(2, sender.transport.counters().datagramsSent());
    }

    @Test
    void deliversMessagesToItself() throws InterruptedException {
        sender.transport.send(sender.address(), TestMessage.numbered(1));
        sender.transport.sendOrdered(sender.address(), TestMessage.numbered(2));
        assertEquals(3, sender.take().number() + sender.take().number());
    }

    @Test
    void reconnectsAPeerThatDoesNotReadWithoutDelayingOthers() throws Exception {
        ServerSocket server = closeAfterTest(new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1")));
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        for (int i = 0; i < 200; i++) {
            sender.transport.send(addressOf(server), TestMessage.withBody(i, LARGE_BYTES));
        }
        Socket stalledSocket = closeAfterTest(server.accept());
        sender.transport.send(receiver.address(), TestMessage.withBody(1, LARGE_BYTES));
        assertEquals(1, receiver.take().number());
        assertTrue(sender.transport.counters().dropped() > 0, "the queue of the stalled peer is bounded");
        sender.transport.send(addressOf(server), TestMessage.withBody(201, LARGE_BYTES));
        exchangeUntil(() -> sender.transport.counters().failedConnections() > 0);
        sender.transport.send(addressOf(server), TestMessage.withBody(202, LARGE_BYTES));
        closeAfterTest(server.accept());
        assertTrue(stalledSocket.isConnected());
    }

    @Test
    void timesOutAPeerThatDoesNotAcceptWithoutDelayingOthers() throws Exception {
        ServerSocket fullServer = closeAfterTest(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        for (int i = 0; i < 4; i++) {
            SocketChannel filler = closeAfterTest(SocketChannel.open());
            filler.configureBlocking(false);
            filler.connect(fullServer.getLocalSocketAddress());
        }
        sender.transport.send(addressOf(fullServer), TestMessage.withBody(1, LARGE_BYTES));
        exchangeUntil(() -> sender.transport.counters().failedConnections() > 0);
    }

    @Test
    void reconnectsARestartedPeer() throws Exception {
        sender.transport.sendOrdered(receiver.address(), TestMessage.numbered(1));
        assertEquals(1, receiver.take().number());
        int port = receiver.address().port();
        long failuresBefore = sender.transport.counters().failedConnections();
        receiver.transport.close();
        receiver = endpoint(0);
        exchangeUntil(() -> sender.transport.counters().failedConnections() > failuresBefore);
        Endpoint restarted = endpoint(port);
        sender.transport.sendOrdered(restarted.address(), TestMessage.numbered(2));
        assertEquals(2, restarted.take().number());
    }

    @Test
    void countsMalformedFramesAndContinues() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        int port = receiver.address().port();
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
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            byte[] acknowledgements = socket.getInputStream().readAllBytes();
            assertTrue(
                    acknowledgements.length <= 1,
                    "a frame length above the maximum closes the connection without an acknowledgement");
        }
        exchangeUntil(() -> receiver.transport.counters().malformed() == 6);
    }

    @Test
    void reassemblesAFrameThatArrivesInChunks() throws Exception {
        byte[] frame = new MessageCodec(TestMessage.types()).encode(4_000, TestMessage.withBody(3, 30));
        try (Socket socket = new Socket("127.0.0.1", receiver.address().port())) {
            socket.setTcpNoDelay(true);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (int copy = 0; copy < 3; copy++) {
                out.writeInt(frame.length);
                for (byte singleByte : frame) {
                    out.write(singleByte);
                    out.flush();
                }
            }
            for (int copy = 0; copy < 3; copy++) {
                assertEquals(3, receiver.take().number());
            }
        }
        assertEquals(new SocketAddress("127.0.0.1", 4_000), receiver.senders.take());
    }

    @Test
    void continuesAfterAnExceptionInTheReceiver() throws Exception {
        BlockingQueue<Long> receivedNumbers = new LinkedBlockingQueue<>();
        NetworkTransport throwingTransport = closeAfterTest(
                new NetworkTransport(new SocketAddress("127.0.0.1", 0), new MessageCodec(TestMessage.types())));
        throwingTransport.start((senderAddress, message) -> {
            receivedNumbers.add(((TestMessage) message).number());
            throw new IllegalStateException("expected by the test");
        });
        for (int i = 0; i < 3; i++) {
            sender.transport.sendOrdered(throwingTransport.localAddress(), TestMessage.numbered(i));
        }
        for (long i = 0; i < 3; i++) {
            assertEquals(i, receivedNumbers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void reportsAnAddressInUseWithTheFailedStep() {
        TransportException failure = assertThrows(
                TransportException.class,
                () -> new NetworkTransport(sender.address(), new MessageCodec(TestMessage.types())));
        assertEquals(sender.address(), failure.address());
        assertTrue(failure.getMessage().startsWith("bind at 127.0.0.1:"));
    }
}
