package pinewick.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the time-outs of a connection with real sockets and a simulated clock. */
class OutgoingConnectionTest {
    private static final byte[] SMALL = {1, 2, 3};
    private static final int MEGABYTE = 1 << 20;

    private final TransportCounters counters = new TransportCounters();
    private Selector selector;
    private ServerSocket server;
    private OutgoingConnection connection;

    @BeforeEach
    void open() throws IOException {
        selector = Selector.open();
        server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        connection = new OutgoingConnection((InetSocketAddress) server.getLocalSocketAddress(), selector, counters);
    }

    @AfterEach
    void close() throws IOException {
        connection.close();
        server.close();
        selector.close();
    }

    /** Handles the events of the selector at the given time until the condition is true. */
    private void selectUntil(BooleanSupplier condition, double nowMs) throws IOException {
        while (!condition.getAsBoolean()) {
            selector.select(key -> ((ChannelHandler) key.attachment()).onReady(nowMs));
        }
    }

    private void sendSmall(double nowMs) throws IOException {
        long framesSentBefore = counters.framesSent();
        connection.enqueue(SMALL, nowMs);
        connection.connectOrWrite(nowMs);
        selectUntil(() -> counters.framesSent() > framesSentBefore, nowMs);
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        return frame;
    }

    @Test
    void writesAFrameWithALengthPrefix() throws IOException {
        sendSmall(0);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void closesAnIdleConnection() throws IOException {
        sendSmall(0);
        server.accept().getOutputStream().write(1);
        selectUntil(() -> !connection.hasPendingWork(), 1);
        connection.checkDeadlines(OutgoingConnection.IDLE_TIMEOUT_MS);
        assertTrue(connection.isActive());
        connection.checkDeadlines(OutgoingConnection.IDLE_TIMEOUT_MS + 1);
        assertFalse(connection.isActive());
        assertEquals(0, counters.failedConnections());
    }

    @Test
    void closesAnUnacknowledgedConnectionWithoutResendingTheFrame() throws IOException {
        sendSmall(0);
        connection.checkDeadlines(OutgoingConnection.ACKNOWLEDGEMENT_TIMEOUT_MS);
        assertEquals(0, counters.failedConnections());
        assertTrue(connection.hasPendingWork());
        connection.checkDeadlines(OutgoingConnection.ACKNOWLEDGEMENT_TIMEOUT_MS + 1);
        assertEquals(1, counters.failedConnections());
        assertFalse(connection.isActive(), "a completely written frame is not sent again");
    }

    @Test
    void closesAStalledConnectionAndResendsTheCompleteFrame() throws IOException {
        byte[] large = new byte[8 * MEGABYTE];
        Arrays.fill(large, (byte) 7);
        connection.enqueue(large, 0);
        connection.connectOrWrite(0);
        Socket stalled = server.accept();
        selectUntil(() -> selector.keys().stream().anyMatch(key -> key.isValid() && key.interestOps() == 5), 0);
        connection.checkDeadlines(OutgoingConnection.WRITE_TIMEOUT_MS - 1);
        assertEquals(0, counters.failedConnections());
        connection.checkDeadlines(OutgoingConnection.WRITE_TIMEOUT_MS + 1);
        assertEquals(1, counters.failedConnections());
        assertTrue(connection.hasPendingWork());

        double reconnectAtMs = OutgoingConnection.WRITE_TIMEOUT_MS + OutgoingConnection.RECONNECT_DELAY_MS + 2;
        connection.checkDeadlines(reconnectAtMs);
        Thread writer = new Thread(() -> {
            try {
                selectUntil(() -> counters.framesSent() == 1, reconnectAtMs);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        writer.start();
        try (Socket accepted = server.accept()) {
            assertArrayEquals(large, readFrame(new DataInputStream(accepted.getInputStream())));
        }
        DataInputStream stalledInput = new DataInputStream(stalled.getInputStream());
        assertThrows(EOFException.class, () -> readFrame(stalledInput));
        stalled.close();
    }

    @Test
    void timesOutAConnectionAttemptWithoutResponse() throws IOException {
        try (ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            SocketChannel[] fillers = new SocketChannel[4];
            for (int i = 0; i < fillers.length; i++) {
                fillers[i] = SocketChannel.open();
                fillers[i].configureBlocking(false);
                fillers[i].connect(fullServer.getLocalSocketAddress());
            }
            OutgoingConnection connecting =
                    new OutgoingConnection((InetSocketAddress) fullServer.getLocalSocketAddress(), selector, counters);
            connecting.enqueue(SMALL, 0);
            connecting.connectOrWrite(0);
            connecting.checkDeadlines(OutgoingConnection.CONNECT_TIMEOUT_MS);
            assertEquals(0, counters.failedConnections());
            connecting.checkDeadlines(OutgoingConnection.CONNECT_TIMEOUT_MS + 1);
            assertEquals(1, counters.failedConnections());
            assertTrue(connecting.hasPendingWork(), "the frame stays queued for the next connection attempt");
            connecting.checkDeadlines(OutgoingConnection.MAX_QUEUE_TIME_MS + 1);
            assertFalse(connecting.isActive(), "a frame that has waited too long is dropped");
            assertEquals(1, counters.dropped());
            for (SocketChannel filler : fillers) {
                filler.close();
            }
        }
    }

    @Test
    void sendsQueuedFramesToAPeerThatStartsAfterTheFirstAttempt() throws IOException {
        int port = server.getLocalPort();
        server.close();
        connection.enqueue(SMALL, 0);
        connection.connectOrWrite(0);
        selectUntil(() -> counters.failedConnections() == 1, 0);
        connection.connectOrWrite(1);
        assertEquals(1, counters.failedConnections(), "no connection attempt within the reconnect delay");
        server = new ServerSocket(port, 5, InetAddress.getByName("127.0.0.1"));
        connection.checkDeadlines(OutgoingConnection.RECONNECT_DELAY_MS + 1);
        selectUntil(() -> counters.framesSent() == 1, OutgoingConnection.RECONNECT_DELAY_MS + 1);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void sendsTheNextFrameOverANewConnectionAfterThePeerCloses() throws IOException {
        sendSmall(0);
        server.accept().close();
        selectUntil(() -> counters.failedConnections() == 1, 1);
        sendSmall(OutgoingConnection.RECONNECT_DELAY_MS + 1);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void dropsTheOldestFramesWhenTheQueueIsFull() {
        PeerQueue queue = new PeerQueue(3, 100);
        for (byte i = 0; i < 5; i++) {
            queue.add(new byte[] {i}, i);
        }
        assertEquals(2, queue.poll().orElseThrow().frame()[0]);
        assertEquals(1, queue.add(new byte[99], 5));
        assertEquals(4, queue.poll().orElseThrow().frame()[0]);
        assertEquals(1, queue.add(new byte[5_000], 6), "a frame above the limit is queued alone");
        PeerQueue.QueuedFrame large = queue.poll().orElseThrow();
        assertFalse(queue.requeue(large));
        assertTrue(queue.isEmpty());
    }
}
