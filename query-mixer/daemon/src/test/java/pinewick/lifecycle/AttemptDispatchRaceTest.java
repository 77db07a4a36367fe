package pinewick.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.undertow.server.DefaultByteBufferPool;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import pinewick.core.DeploymentParser;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.protocol.ReplicaListJson;
import pinewick.protocol.TcpReplicaConnection;

/**
 * The request pipeline between real sockets, with a hook at the end of a batch before its attempts are sent. Guards
 * against attempts sent for a client that left, or to a replica that started draining, while the batch was handled, and
 * against a safety timeout that fires before the decisions of its batch.
 */
@Timeout(30)
class AttemptDispatchRaceTest {
    private static final int WAIT_SECONDS = 10;
    /** Longer than the deadline of the queries and the delay of their safety timeout. */
    private static final int PAUSE_MS = 4_000;

    private static final String SETTINGS = "{\"settings\":{\"categories\":[{\"name\":\"any\",\"slo-ns\":1e9,"
            + "\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}],\"bounds\":{\"multiplex\":10,\"try-limit\":3},"
            + "\"family-info\":{\"cells\":1,\"reach\":1,\"slabs\":1}}}";

    private final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
    private ServerSocket replica;
    private XnioWorker worker;
    private AcceptingChannel<StreamConnection> listener;
    private EventLoop loop;
    private RequestPipeline pipeline;

    @BeforeEach
    void setUp() throws Exception {
        replica = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket router = replica.accept();
                    DataInputStream in = new DataInputStream(router.getInputStream());
                    new Thread(() -> {
                                try {
                                    while (true) {
                                        byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                                        in.readFully(frame);
                                        frames.add(new String(frame, StandardCharsets.UTF_8));
                                    }
                                } catch (IOException e) {
                                    // The router closed the connection.
                                }
                            })
                            .start();
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Log log = new Log(System.err, 10);
        loop = new EventLoop(worker.getIoThread(), log);
        JsonObject settings = JsonParser.parseString(SETTINGS).getAsJsonObject();
        onLoop(() -> {
            pipeline = new RequestPipeline(
                    DeploymentParser.parse(settings.getAsJsonObject("settings")),
                    Limits.of(settings),
                    7,
                    loop,
                    log,
                    new DefaultByteBufferPool(true, 8 << 10, 16, 4),
                    TcpReplicaConnection::connect);
            // The pipeline's load shedder observes no batch, so it rejects nothing on a busy machine. A rejected query
            // would not reach the dispatch that is tested.
            loop.setLoadShedder(null);
            pipeline.onReplicaListUpdate(
                    listUpdate(SchedulerHost.LifecycleState.READY), SchedulerHost.ListUpdateKind.FULL);
            listener = worker.createStreamConnectionServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    ChannelListeners.openListenerAdapter(pipeline.clientListener),
                    OptionMap.EMPTY);
            listener.resumeAccepts();
        });
    }

    @AfterEach
    void tearDown() throws Exception {
        listener.close();
        replica.close();
        worker.shutdownNow();
    }

    private ReplicaListJson.Update listUpdate(SchedulerHost.LifecycleState state) {
        return new ReplicaListJson.Update(
                1,
                true,
                List.of(new SchedulerHost.ReplicaEntry("a", 0, "", state, 0)),
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), replica.getLocalPort())));
    }

    private interface Action {
        void run() throws Exception;
    }

    private void onLoop(Action action) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        Exception[] failed = new Exception[1];
        loop.later("a test", () -> {
            try {
                action.run();
            } catch (Exception e) {
                failed[0] = e;
            } finally {
                done.countDown();
            }
        });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertNull(failed[0]);
    }

    private Socket client() throws IOException {
        return new Socket(
                InetAddress.getLoopbackAddress(),
                listener.getLocalAddress(InetSocketAddress.class).getPort());
    }

    private static void post(Socket client, String id) throws IOException {
        String body = "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"f\"}";
        client.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: any\r\n"
                                + "Req-Deadline: 2\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Runs an action once, after the next batch that takes a query and before its attempts are sent. */
    private void beforeDispatch(Action action) throws Exception {
        onLoop(() -> {
            String takenBefore = takenCount();
            loop.onBatchEnd(() -> {
                if (!takenCount().equals(takenBefore)) {
                    loop.onBatchEnd(pipeline.router::onBatchEnd);
                    try {
                        action.run();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                }
                pipeline.router.onBatchEnd();
            });
        });
    }

    private String takenCount() {
        return pipeline.metrics().replaceAll("(?s).*\ntaken (\\d+).*|.*", "$1");
    }

    /** Sends a query and waits until its attempt has arrived, so that a connection to the replica is established. */
    private Socket sendFirstQuery() throws Exception {
        Socket first = client();
        post(first, "first");
        assertTrue(nextFrame().contains("first.0"));
        return first;
    }

    private String nextFrame() throws InterruptedException {
        String frame = frames.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(frame);
        return frame;
    }

    @Test
    void sendsNothingForAClientThatLeftDuringItsBatch() throws Exception {
        try (Socket first = sendFirstQuery();
                Socket leaving = client();
                Socket last = client()) {
            beforeDispatch(() -> {
                leaving.setSoLinger(true, 0);
                leaving.close();
                // A long batch, as on a fraction of a core; nothing reads the sockets meanwhile.
                assertNull(frames.poll(100, TimeUnit.MILLISECONDS));
            });
            post(leaving, "left");
            String[] metrics = {""};
            while (!metrics[0].contains("withdrawn 1\n")) {
                onLoop(() -> metrics[0] = pipeline.metrics());
            }
            post(last, "last");
            String frame = nextFrame();
            assertTrue(frame.contains("last.0"), frame);
            assertEquals(0, frames.size());
        }
    }

    @Test
    void appliesADrainOfTheSameBatchBeforeSendingTheAttempt() throws Exception {
        try (Socket first = sendFirstQuery();
                Socket second = client()) {
            beforeDispatch(() -> pipeline.onReplicaListUpdate(
                    listUpdate(SchedulerHost.LifecycleState.DRAINING), SchedulerHost.ListUpdateKind.INCREMENTAL));
            post(second, "second");
            assertEquals("HTTP/1.1 503", new String(second.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
            assertEquals(0, frames.size());
        }
    }

    @Test
    void readsADrainThatArrivedDuringALongBatchBeforeSendingTheAttempt() throws Exception {
        try (Socket first = sendFirstQuery();
                Socket second = client()) {
            pipeline.setListReader(() -> pipeline.onReplicaListUpdate(
                    listUpdate(SchedulerHost.LifecycleState.DRAINING), SchedulerHost.ListUpdateKind.INCREMENTAL));
            beforeDispatch(() -> assertNull(frames.poll(100, TimeUnit.MILLISECONDS)));
            post(second, "second");
            assertEquals("HTTP/1.1 503", new String(second.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
            assertEquals(0, frames.size());
        }
    }

    /** After a pause over the end of a query its client got 500 instead of 503, which says that it may retry. */
    @Test
    void theDecisionsEndAQueryAlsoAfterAPauseOverItsEnd() throws Exception {
        try (Socket client = sendFirstQuery()) {
            client.setSoTimeout(WAIT_SECONDS * 1_000);
            // The process stands still; nothing fires and nothing reads the sockets meanwhile.
            onLoop(() -> assertNull(frames.poll(PAUSE_MS, TimeUnit.MILLISECONDS)));
            byte[] status = client.getInputStream().readNBytes("HTTP/1.1 503".length());
            assertEquals("HTTP/1.1 503", new String(status, StandardCharsets.US_ASCII));
            assertFalse(pipeline.metrics().contains("ended-by-the-net"), pipeline.metrics());
        }
    }
}
