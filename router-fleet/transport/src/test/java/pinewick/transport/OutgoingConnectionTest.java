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

/** Deadlines of a connection: the sockets are real, the time is handed in. */
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

    /** Handles what the selector reports, at one moment, until something holds. */
    private void selectUntil(BooleanSupplier condition, double nowMs) throws IOException {
        while (!condition.getAsBoolean()) {
            selector.select(key -> ((ChannelHandler) key.attachment()).onReady(nowMs));
        }
    }

    private void sendSmall(double nowMs) throws IOException {
        long sent = counters.framesSent();
        connection.enqueue(SMALL, nowMs);
        connection.service(nowMs);
        selectUntil(() -> counters.framesSent() > sent, nowMs);
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        return frame;
    }

    @Test
    void aFrameIsWrittenWithItsLengthInFront() throws IOException {
        sendSmall(0);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws IOException {
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
    void aPeerThatAcknowledgesNothingIsReconnected() throws IOException {
        sendSmall(0);
        connection.checkDeadlines(OutgoingConnection.ACKNOWLEDGEMENT_TIMEOUT_MS);
        assertEquals(0, counters.failedConnections());
        assertTrue(connection.hasPendingWork());
        connection.checkDeadlines(OutgoingConnection.ACKNOWLEDGEMENT_TIMEOUT_MS + 1);
        assertEquals(1, counters.failedConnections());
        assertFalse(connection.isActive(), "a frame that was written whole is not sent twice");
    }

    @Test
    void aStuckWriteEndsTheConnectionAndTheFrameIsSentAgainWhole() throws IOException {
        byte[] large = new byte[8 * MEGABYTE];
        Arrays.fill(large, (byte) 7);
        connection.enqueue(large, 0);
        connection.service(0);
        Socket stuck = server.accept();
        selectUntil(() -> selector.keys().stream().anyMatch(key -> key.isValid() && key.interestOps() == 5), 0);
        connection.checkDeadlines(OutgoingConnection.WRITE_TIMEOUT_MS - 1);
        assertEquals(0, counters.failedConnections());
        connection.checkDeadlines(OutgoingConnection.WRITE_TIMEOUT_MS + 1);
        assertEquals(1, counters.failedConnections());
        assertTrue(connection.hasPendingWork());

        double againAtMs = OutgoingConnection.WRITE_TIMEOUT_MS + OutgoingConnection.RECONNECT_DELAY_MS + 2;
        connection.checkDeadlines(againAtMs);
        Thread writer = new Thread(() -> {
            try {
                selectUntil(() -> counters.framesSent() == 1, againAtMs);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        writer.start();
        try (Socket accepted = server.accept()) {
            assertArrayEquals(large, readFrame(new DataInputStream(accepted.getInputStream())));
        }
        DataInputStream fromStuck = new DataInputStream(stuck.getInputStream());
        assertThrows(EOFException.class, () -> readFrame(fromStuck));
        stuck.close();
    }

    @Test
    void aConnectionAttemptWithoutResponseTimesOut() throws IOException {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            SocketChannel[] fillers = new SocketChannel[4];
            for (int i = 0; i < fillers.length; i++) {
                fillers[i] = SocketChannel.open();
                fillers[i].configureBlocking(false);
                fillers[i].connect(full.getLocalSocketAddress());
            }
            OutgoingConnection hanging =
                    new OutgoingConnection((InetSocketAddress) full.getLocalSocketAddress(), selector, counters);
            hanging.enqueue(SMALL, 0);
            hanging.service(0);
            hanging.checkDeadlines(OutgoingConnection.CONNECT_TIMEOUT_MS);
            assertEquals(0, counters.failedConnections());
            hanging.checkDeadlines(OutgoingConnection.CONNECT_TIMEOUT_MS + 1);
            assertEquals(1, counters.failedConnections());
            assertTrue(hanging.hasPendingWork(), "the frame waits for the next dial");
            hanging.checkDeadlines(OutgoingConnection.MAX_QUEUE_TIME_MS + 1);
            assertFalse(hanging.isActive(), "a stale frame is not sent any more");
            assertEquals(1, counters.dropped());
            for (SocketChannel filler : fillers) {
                filler.close();
            }
        }
    }

    @Test
    void aPeerThatStartsShortlyAfterGetsTheQueuedFrames() throws IOException {
        int port = server.getLocalPort();
        server.close();
        connection.enqueue(SMALL, 0);
        connection.service(0);
        selectUntil(() -> counters.failedConnections() == 1, 0);
        connection.service(1);
        assertEquals(1, counters.failedConnections(), "no dial right after a failed one");
        server = new ServerSocket(port, 5, InetAddress.getByName("127.0.0.1"));
        connection.checkDeadlines(OutgoingConnection.RECONNECT_DELAY_MS + 1);
        selectUntil(() -> counters.framesSent() == 1, OutgoingConnection.RECONNECT_DELAY_MS + 1);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void aClosedPeerIsNoticedAndTheNextFrameGoesOverANewConnection() throws IOException {
        sendSmall(0);
        server.accept().close();
        selectUntil(() -> counters.failedConnections() == 1, 1);
        sendSmall(OutgoingConnection.RECONNECT_DELAY_MS + 1);
        try (Socket accepted = server.accept()) {
            assertArrayEquals(SMALL, readFrame(new DataInputStream(accepted.getInputStream())));
        }
    }

    @Test
    void theOldestFramesAreDroppedWhenTheQueueIsFull() {
        PeerQueue queue = new PeerQueue(3, 100);
        for (byte i = 0; i < 5; i++) {
            queue.add(new byte[] {i}, i);
        }
        assertEquals(2, queue.poll().orElseThrow().frame()[0]);
        assertEquals(1, queue.add(new byte[99], 5));
        assertEquals(4, queue.poll().orElseThrow().frame()[0]);
        assertEquals(1, queue.add(new byte[5_000], 6), "a frame above the bound stands alone");
        PeerQueue.QueuedFrame large = queue.poll().orElseThrow();
        assertFalse(queue.requeue(large));
        assertTrue(queue.isEmpty());
    }
}
