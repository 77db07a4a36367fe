package pinewick.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.wire.ListText;
import pinewick.wire.SearcherLink;

/** The stages of one mixer between real sockets, with a gate at the end of each batch, before its launches go out. */
@Timeout(30)
class AttemptDispatchRaceTest {
    private static final int WAIT = 10;
    private static final String SETTINGS = "{\"settings\":{\"categories\":[{\"name\":\"any\",\"slo-ns\":1e9,"
            + "\"hard-limit-ns\":3e9,\"effect\":\"retryable\"}],\"bounds\":{\"multiplex\":10,\"try-limit\":3},"
            + "\"family-info\":{\"cells\":1,\"reach\":1,\"slabs\":1}}}";

    private final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
    private ServerSocket searcher;
    private XnioWorker worker;
    private AcceptingChannel<StreamConnection> door;
    private Loop loop;
    private RequestPipeline pipeline;

    @BeforeEach
    void opens() throws Exception {
        searcher = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Thread reads = new Thread(() -> {
            try {
                while (true) {
                    Socket mixer = searcher.accept();
                    DataInputStream in = new DataInputStream(mixer.getInputStream());
                    new Thread(() -> {
                                try {
                                    while (true) {
                                        byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                                        in.readFully(frame);
                                        frames.add(new String(frame, StandardCharsets.UTF_8));
                                    }
                                } catch (IOException over) {
                                    // The mixer is gone.
                                }
                            })
                            .start();
                }
            } catch (IOException over) {
                // The story is over.
            }
        });
        reads.setDaemon(true);
        reads.start();
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Log log = new Log(System.err, 10);
        loop = new Loop(worker.getIoThread(), log);
        JsonObject settings = JsonParser.parseString(SETTINGS).getAsJsonObject();
        onLoop(() -> {
            pipeline = new RequestPipeline(
                    DeploymentParser.parse(settings.getAsJsonObject("settings")),
                    Limits.of(settings),
                    7,
                    loop,
                    log,
                    new DefaultByteBufferPool(true, 8 << 10, 16, 4),
                    SearcherLink::dial);
            pipeline.onReplicaListUpdate(list(SchedulerHost.LifecycleState.READY), SchedulerHost.ListUpdateKind.FULL);
            door = worker.createStreamConnectionServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    ChannelListeners.openListenerAdapter(pipeline.door),
                    OptionMap.EMPTY);
            door.resumeAccepts();
        });
    }

    @AfterEach
    void close() throws Exception {
        door.close();
        searcher.close();
        worker.shutdownNow();
    }

    private ListText.Piece list(SchedulerHost.LifecycleState stage) {
        return new ListText.Piece(
                1,
                true,
                List.of(new SchedulerHost.ReplicaEntry("a", 0, "", stage, 0)),
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), searcher.getLocalPort())));
    }

    private interface Work {
        void run() throws Exception;
    }

    private void onLoop(Work work) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        Exception[] failed = new Exception[1];
        loop.later("a test", () -> {
            try {
                work.run();
            } catch (Exception wrong) {
                failed[0] = wrong;
            } finally {
                done.countDown();
            }
        });
        assertTrue(done.await(WAIT, TimeUnit.SECONDS));
        assertNull(failed[0]);
    }

    private Socket client() throws IOException {
        return new Socket(
                InetAddress.getLoopbackAddress(),
                door.getLocalAddress(InetSocketAddress.class).getPort());
    }

    private static void post(Socket client, String id) throws IOException {
        String body = "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"f\"}";
        client.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: any\r\n"
                                + "Req-Deadline: 2\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Runs this between the first batch that has taken a query from now on, and its launches. */
    private void beforeLaunches(Work work) throws Exception {
        onLoop(() -> {
            String before = figure();
            loop.atEndOfBatch(() -> {
                if (!figure().equals(before)) {
                    loop.atEndOfBatch(pipeline.router::onBatchEnd);
                    try {
                        work.run();
                    } catch (Exception wrong) {
                        throw new IllegalStateException(wrong);
                    }
                }
                pipeline.router.onBatchEnd();
            });
        });
    }

    private String figure() {
        return pipeline.metrics().replaceAll("(?s).*\ntaken (\\d+).*|.*", "$1");
    }

    /** A connection to the searcher is up, and this query's launch is out on it. */
    private Socket firstQuery() throws Exception {
        Socket first = client();
        post(first, "first");
        assertTrue(next().contains("first.0"));
        return first;
    }

    private String next() throws InterruptedException {
        String frame = frames.poll(WAIT, TimeUnit.SECONDS);
        assertNotNull(frame);
        return frame;
    }

    @Test
    void nothingBeginsForAClientThatLeftWhileItsBatchWasHandled() throws Exception {
        try (Socket first = firstQuery();
                Socket leaver = client();
                Socket last = client()) {
            beforeLaunches(() -> {
                leaver.setSoLinger(true, 0);
                leaver.close();
                // A batch that is long, as on a part of a core; nothing reads the sockets meanwhile.
                assertNull(frames.poll(100, TimeUnit.MILLISECONDS));
            });
            post(leaver, "left");
            String[] figures = {""};
            while (!figures[0].contains("withdrawn 1\n")) {
                onLoop(() -> figures[0] = pipeline.metrics());
            }
            post(last, "last");
            String frame = next();
            assertTrue(frame.contains("last.0"), frame);
            assertEquals(0, frames.size());
        }
    }

    @Test
    void aDrainToldInTheBatchOfALaunchComesBeforeIt() throws Exception {
        try (Socket first = firstQuery();
                Socket second = client()) {
            beforeLaunches(() -> pipeline.onReplicaListUpdate(
                    list(SchedulerHost.LifecycleState.DRAINING), SchedulerHost.ListUpdateKind.INCREMENTAL));
            post(second, "second");
            assertEquals("HTTP/1.1 503", new String(second.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
            assertEquals(0, frames.size());
        }
    }

    @Test
    void aDrainThatCameDuringALongBatchIsReadBeforeTheLaunch() throws Exception {
        try (Socket first = firstQuery();
                Socket second = client()) {
            pipeline.setListReader(() -> pipeline.onReplicaListUpdate(
                    list(SchedulerHost.LifecycleState.DRAINING), SchedulerHost.ListUpdateKind.INCREMENTAL));
            beforeLaunches(() -> assertNull(frames.poll(100, TimeUnit.MILLISECONDS)));
            post(second, "second");
            assertEquals("HTTP/1.1 503", new String(second.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
            assertEquals(0, frames.size());
        }
    }
}
