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

/** Connections to one replica while they are being established, with a scripted network. */
class ReplicaConnectionsTest {
    private static final Executor DIRECT = Runnable::run;

    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("test", true);
    private final ReplicaDirectory directory = new ReplicaDirectory();
    private final UpstreamPool pool =
            new UpstreamPool(new SerialExecutor(), new VirtualTimers(), directory, service -> 2);
    private final ScriptedConnector connector = new ScriptedConnector();

    /** Connection attempts that the test accepts or refuses. */
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

    /** A connection that accepts some bytes and fails at the next write. */
    private final class FailingEndPoint extends ByteArrayEndPoint {
        private final int acceptedBytes;

        FailingEndPoint(int acceptedBytes) {
            super(scheduler, 0);
            this.acceptedBytes = acceptedBytes;
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            if (acceptedBytes > 0) {
                ByteBuffer accepted = buffers[0].slice().limit(acceptedBytes);
                buffers[0].position(buffers[0].position() + acceptedBytes);
                super.flush(accepted);
            }
            throw new EofException("scripted failure");
        }
    }

    /** Records the events of a call. */
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
            events.add("failed");
        }
    }

    @BeforeEach
    void start() throws Exception {
        scheduler.start();
        pool.setConnector(connector);
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

    private UpstreamCall send(String id, RecordedCall recordedCall) {
        return pool.send(
                replica(ReplicaState.READY),
                new UpstreamRequest("POST", "/x", HttpFields.build().add("X-Id", id), new byte[0], id),
                recordedCall);
    }

    @Test
    void aReplicaThatDrainsDuringConnectGetsNoRequest() {
        RecordedCall recordedCall = new RecordedCall();
        send("q1", recordedCall);
        directory.update(replica(ReplicaState.DRAINING));
        ByteArrayEndPoint endPoint = connector.accept();
        assertEquals(List.of("REPLICA_DRAINING"), recordedCall.events);
        assertEquals("", endPoint.getOutputString());
    }

    @Test
    void theConnectTimeoutFollowsRecentConnectTimes() {
        ConnectTimeout timeout = new ConnectTimeout();
        assertEquals(ConnectTimeout.MAX_TIMEOUT_MS, timeout.timeoutMs());
        for (int i = 0; i < 300; i++) {
            timeout.onConnected(1);
        }
        assertEquals(ConnectTimeout.MIN_TIMEOUT_MS, timeout.timeoutMs());
        timeout.onConnected(30);
        assertEquals(240, timeout.timeoutMs());
        timeout.onConnected(200);
        assertEquals(ConnectTimeout.MAX_TIMEOUT_MS, timeout.timeoutMs());
    }

    @Test
    void connectionsDoNotExceedTheRoutersLimit() {
        RecordedCall first = new RecordedCall();
        RecordedCall second = new RecordedCall();
        RecordedCall third = new RecordedCall();
        send("q1", first);
        send("q2", second);
        send("q3", third);
        assertEquals(List.of("NO_CONNECTION_FREE"), third.events);
        connector.refuse();
        assertEquals(List.of("NOT_CONNECTED"), first.events);
        RecordedCall fourth = new RecordedCall();
        send("q4", fourth);
        assertEquals(List.of(), fourth.events);
    }

    @Test
    void aCallAbortedDuringConnectSendsNothing() {
        RecordedCall recordedCall = new RecordedCall();
        UpstreamCall call = send("q1", recordedCall);
        call.abort();
        ByteArrayEndPoint endPoint = connector.accept();
        assertEquals("", endPoint.getOutputString());
        assertEquals(List.of(), recordedCall.events);
    }

    @Test
    void aCallIsSentOnTheConnectionOfAnAbortedCall() {
        RecordedCall first = new RecordedCall();
        RecordedCall second = new RecordedCall();
        UpstreamCall aborted = send("q1", first);
        UpstreamCall remaining = send("q2", second);
        aborted.abort();
        ByteArrayEndPoint endPoint = connector.accept();
        assertEquals(true, remaining.isSent());
        assertEquals(true, endPoint.getOutputString().contains("X-Id: q2"));
        connector.refuse();
        assertEquals(List.of(), second.events);
        assertNull(connector.factories.poll());
    }

    @Test
    void aCallWithoutAByteSentIsResentOnAnotherConnection() {
        RecordedCall recordedCall = new RecordedCall();
        send("q1", recordedCall);
        ByteArrayEndPoint failing = connector.accept(new FailingEndPoint(0));
        assertEquals("", failing.getOutputString());
        assertEquals(List.of(), recordedCall.events);
        ByteArrayEndPoint next = connector.accept();
        assertEquals(true, next.getOutputString().contains("X-Id: q1"));
    }

    @Test
    void aCallWithAByteSentIsNotResent() {
        RecordedCall recordedCall = new RecordedCall();
        send("q1", recordedCall);
        connector.accept(new FailingEndPoint(1));
        assertEquals(List.of("failed"), recordedCall.events);
        assertNull(connector.factories.poll());
    }
}
