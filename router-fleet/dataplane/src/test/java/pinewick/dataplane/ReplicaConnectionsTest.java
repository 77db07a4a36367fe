package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Connections to one replica while they are being made, with the network played. */
class ReplicaConnectionsTest {
    private static final Executor DIRECT = Runnable::run;

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("test", true);
    private final ReplicaDirectory directory = new ReplicaDirectory();
    private final UpstreamPool pool =
            new UpstreamPool(new SerialExecutor(), new VirtualTimers(), directory, service -> 2);
    private final ScriptedConnector network = new ScriptedConnector();

    /** Connections that a test lets come about, or not. */
    private final class ScriptedConnector implements UpstreamConnector {
        private final Deque<UpstreamConnectionFactory> factories = new ArrayDeque<>();
        private final Deque<Runnable> failures = new ArrayDeque<>();

        @Override
        public void connect(
                InetSocketAddress address, int timeoutMs, UpstreamConnectionFactory factory, Runnable onFailure) {
            factories.add(factory);
            failures.add(onFailure);
        }

        ByteArrayEndPoint accept() {
            return accept(new ByteArrayEndPoint(scheduler, 0));
        }

        ByteArrayEndPoint accept(ByteArrayEndPoint endPoint) {
            failures.poll();
            endPoint.setGrowOutput(true);
            UpstreamConnection connection =
                    (UpstreamConnection) factories.poll().create(endPoint, DIRECT);
            endPoint.setConnection(connection);
            endPoint.onOpen();
            connection.onOpen();
            return endPoint;
        }

        void refuse() {
            factories.poll();
            failures.poll().run();
        }
    }

    /** A connection that takes some bytes and is found broken by the next write. */
    private final class FailingEndPoint extends ByteArrayEndPoint {
        private final int takenBytes;

        FailingEndPoint(int takenBytes) {
            super(scheduler, 0);
            this.takenBytes = takenBytes;
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            if (takenBytes > 0) {
                ByteBuffer beginning = buffers[0].slice().limit(takenBytes);
                buffers[0].position(buffers[0].position() + takenBytes);
                super.flush(beginning);
            }
            throw new EofException("played");
        }
    }

    /** Notes how a call ends. */
    private static final class RecordedCall implements CallListener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void onNotSent(NotSent reason) {
            events.add(reason.name());
        }

        @Override
        public void onHead(ResponseHead head) {
            events.add("head " + head.status());
        }

        @Override
        public void onContent(ByteBuffer content) {}

        @Override
        public void onComplete() {
            events.add("complete");
        }

        @Override
        public void onFailure(String reason) {
            events.add("broken");
        }
    }

    @BeforeEach
    void start() throws Exception {
        scheduler.start();
        pool.setConnector(network);
        directory.update(replica(ReplicaState.READY));
    }

    @AfterEach
    void stop() throws Exception {
        scheduler.stop();
    }

    private static ReplicaRecord replica(ReplicaState state) {
        return new ReplicaRecord(
                "i-1", "s", new SocketAddress("127.0.0.1", 9), "z", "v", 4, state, 0, Stage.NONE, List.of(), 1, false);
    }

    private UpstreamCall send(String id, RecordedCall outcome) {
        return pool.send(
                replica(ReplicaState.READY),
                new UpstreamRequest("POST", "/x", HttpFields.build().add("X-Id", id), new byte[0], id),
                outcome);
    }

    @Test
    void aReplicaThatDrainsDuringConnectGetsNoRequest() {
        RecordedCall outcome = new RecordedCall();
        send("q1", outcome);
        directory.update(replica(ReplicaState.DRAINING));
        ByteArrayEndPoint endPoint = network.accept();
        assertEquals(List.of("REPLICA_DRAINING"), outcome.events);
        assertEquals("", endPoint.getOutputString());
    }

    @Test
    void theConnectTimeoutFollowsRecentConnectTimes() {
        ConnectTimeout times = new ConnectTimeout();
        assertEquals(ConnectTimeout.MAX_TIMEOUT_MS, times.timeoutMs());
        for (int i = 0; i < 300; i++) {
            times.onConnected(1);
        }
        assertEquals(ConnectTimeout.MIN_TIMEOUT_MS, times.timeoutMs());
        times.onConnected(30);
        assertEquals(240, times.timeoutMs());
        times.onConnected(200);
        assertEquals(ConnectTimeout.MAX_TIMEOUT_MS, times.timeoutMs());
    }

    @Test
    void connectionsStayWithinTheRoutersLimit() {
        RecordedCall first = new RecordedCall();
        RecordedCall second = new RecordedCall();
        RecordedCall third = new RecordedCall();
        send("q1", first);
        send("q2", second);
        send("q3", third);
        assertEquals(List.of("NO_CONNECTION_FREE"), third.events);
        network.refuse();
        assertEquals(List.of("NOT_CONNECTED"), first.events);
        RecordedCall fourth = new RecordedCall();
        send("q4", fourth);
        assertEquals(List.of(), fourth.events);
    }

    @Test
    void aCallThatIsAbortedWhileItsConnectionIsMadeSendsNothing() {
        RecordedCall outcome = new RecordedCall();
        UpstreamCall call = send("q1", outcome);
        call.abort();
        ByteArrayEndPoint endPoint = network.accept();
        assertEquals("", endPoint.getOutputString());
        assertEquals(List.of(), outcome.events);
    }

    @Test
    void aCallWhoseConnectionWasAbortedByAnotherIsStillSent() {
        RecordedCall first = new RecordedCall();
        RecordedCall second = new RecordedCall();
        UpstreamCall aborted = send("q1", first);
        UpstreamCall kept = send("q2", second);
        aborted.abort();
        ByteArrayEndPoint endPoint = network.accept();
        assertEquals(true, kept.isSent());
        assertEquals(true, endPoint.getOutputString().contains("X-Id: q2"));
        network.refuse();
        assertEquals(List.of(), second.events);
        assertNull(network.factories.poll());
    }

    @Test
    void aCallWithoutAByteSentMovesToAnotherConnection() {
        RecordedCall outcome = new RecordedCall();
        send("q1", outcome);
        ByteArrayEndPoint broken = network.accept(new FailingEndPoint(0));
        assertEquals("", broken.getOutputString());
        assertEquals(List.of(), outcome.events);
        ByteArrayEndPoint next = network.accept();
        assertEquals(true, next.getOutputString().contains("X-Id: q1"));
    }

    @Test
    void aCallWithAByteSentIsNotResent() {
        RecordedCall outcome = new RecordedCall();
        send("q1", outcome);
        network.accept(new FailingEndPoint(1));
        assertEquals(List.of("broken"), outcome.events);
        assertNull(network.factories.poll());
    }
}
