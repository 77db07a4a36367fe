package pinewick.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaCall;

/**
 * One connection to a replica over a real socket; running code on the event loop thread forces the order of two events.
 */
@Timeout(30)
class TcpReplicaConnectionTest {
    private static final int WAIT_SECONDS = 20;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private Socket replicaSocket;
    private XnioWorker worker;
    private EventLoop loop;
    private TcpReplicaConnection connection;
    private Limits limits;

    /** Records the events of the connection, and ends attempts as the last stage does. */
    private final class RecordingListener implements TcpReplicaConnection.Listener {
        @Override
        public void onResponse(InFlightAttempt attempt, char end, SchedulerHost.LoadReport report, byte[] value) {
            end(attempt, "answered " + attempt.shardRequest.id);
        }

        @Override
        public void onProbeResult(String from, long probe, boolean good, SchedulerHost.LoadReport report) {}

        @Override
        public void onInvalidFrame(TcpReplicaConnection from, String why, InFlightAttempt attempt) {
            events.add("spoilt " + why);
        }

        @Override
        public void onClosed(
                TcpReplicaConnection from, String why, List<InFlightAttempt> never, List<InFlightAttempt> perhaps) {
            events.add("closed, never " + never.size() + ", perhaps " + perhaps.size());
        }

        @Override
        public boolean canStartWrite(InFlightAttempt attempt) {
            return true;
        }

        @Override
        public void onUnsent(List<InFlightAttempt> attempts) {
            attempts.forEach(each -> end(each, "unsent " + each.shardRequest.id));
        }

        @Override
        public void onConnectTimeout(TcpReplicaConnection from, List<InFlightAttempt> attempts) {
            attempts.forEach(each -> end(each, "not up " + each.shardRequest.id));
        }

        private void end(InFlightAttempt attempt, String how) {
            events.add(how);
            attempt.ended = true;
            attempt.call.connection.onAttemptEnded(attempt);
        }
    }

    @BeforeEach
    void connect() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new EventLoop(worker.getIoThread(), new Log(System.err, 10));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        limits = Limits.of(JsonParser.parseString(
                        "{\"settings\":{\"categories\":[],\"bounds\":" + "{\"multiplex\":10,\"dial-timeout-ns\":1e9}}}")
                .getAsJsonObject());
        onLoop(() -> {
            connection = new TcpReplicaConnection(
                    "a",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    loop,
                    limits,
                    new RecordingListener());
            connection.connect();
        });
        replicaSocket = server.accept();
        onLoop(() -> {});
    }

    @AfterEach
    void close() throws Exception {
        replicaSocket.close();
        server.close();
        worker.shutdownNow();
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Runs it as one event on the event loop, which does nothing else meanwhile. */
    private void onLoop(Task task) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.later("a test", () -> {
            try {
                task.run();
            } catch (Exception wrong) {
                events.add("failed: " + wrong);
            } finally {
                done.countDown();
            }
        });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private static InFlightAttempt attempt(String query, int bytes) {
        OpenQuery openQuery = new OpenQuery(query, 0, 10, null, null);
        openQuery.filter = new byte[bytes];
        openQuery.addShardRequest(0, 1);
        return new InFlightAttempt(openQuery.shardRequests.get(query + ".0"), 0, "a", 0, 10);
    }

    /** Reads the frame of one call at the replica. */
    private void readCall() throws IOException {
        DataInputStream in = new DataInputStream(replicaSocket.getInputStream());
        in.readFully(new byte[Integer.reverseBytes(in.readInt())]);
    }

    private void answer(String part) throws IOException {
        byte[] text = ("5" + part + " S 1 -\nvalue").getBytes(StandardCharsets.UTF_8);
        replicaSocket
                .getOutputStream()
                .write(ByteBuffer.allocate(4 + text.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(text.length)
                        .put(text)
                        .array());
    }

    private String next() throws InterruptedException {
        String one = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(one, "no further event");
        return one;
    }

    @Test
    void receivedResponsesCountBeforeAWriteFindsTheConnectionBroken() throws Exception {
        onLoop(() -> connection.send(List.of(attempt("q1", 3))));
        readCall();
        onLoop(() -> {
            answer("q1.0");
            replicaSocket.setSoLinger(true, 0);
            replicaSocket.close();
            for (int each = 0; each < 3; each++) {
                connection.sendProbe(each, false);
            }
        });
        assertEquals("answered q1.0", next());
        assertEquals("closed, never 0, perhaps 0", next());
    }

    @Test
    void abandoningAPartlyWrittenFrameLosesNoOtherCall() throws Exception {
        onLoop(() -> connection.send(List.of(attempt("q1", 3))));
        readCall();
        InFlightAttempt large = attempt("q2", 64 << 20);
        InFlightAttempt behind = attempt("q3", 3);
        onLoop(() -> {
            connection.send(List.of(large));
            connection.send(List.of(behind));
        });
        onLoop(() -> {
            assertEquals(ReplicaCall.WriteState.PARTIAL, large.call.writeState);
            connection.cancel(large, false);
            large.ended = true;
            connection.onAttemptEnded(large);
        });
        assertEquals("unsent q3.0", next());
        answer("q1.0");
        assertEquals("answered q1.0", next());
        assertEquals("closed, never 0, perhaps 0", next());
    }

    @Test
    void lateConnectReturnsWaitingAttemptsAndServesLaterOnes() throws Exception {
        List<Socket> fill = new ArrayList<>();
        for (int each = 0; each < 2; each++) {
            // These fill the accept backlog, so that the next connection is not established yet.
            fill.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        TcpReplicaConnection[] second = new TcpReplicaConnection[1];
        onLoop(() -> {
            second[0] = new TcpReplicaConnection(
                    "a",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    loop,
                    limits,
                    new RecordingListener());
            second[0].connect();
            second[0].send(List.of(attempt("q1", 3)));
        });
        assertEquals("not up q1.0", next());
        onLoop(() -> assertFalse(second[0].hasCapacity(), "no new call may be queued on it"));
        for (Socket each : fill) {
            server.accept().close();
            each.close();
        }
        Socket late = server.accept();
        boolean[] up = new boolean[1];
        while (!up[0]) {
            onLoop(() -> up[0] = second[0].hasCapacity());
        }
        onLoop(() -> second[0].send(List.of(attempt("q2", 3))));
        replicaSocket.close();
        replicaSocket = late;
        readCall();
        answer("q2.0");
        String one = next();
        assertEquals("answered q2.0", one.startsWith("closed") ? next() : one);
    }
}
