package pinewick.wire;

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
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaCall;

/** One connection to a searcher over a real socket; a gate on the loop forces which of two events comes first. */
@Timeout(30)
class SearcherLinkTest {
    private static final int WAIT = 20;

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private Socket searcher;
    private XnioWorker worker;
    private Loop loop;
    private SearcherLink link;
    private Limits limits;

    /** Writes down what the link tells, and books a launch's end as the last stage would. */
    private final class Told implements SearcherLink.Events {
        @Override
        public void answered(InFlightAttempt launch, char end, SchedulerHost.LoadReport report, byte[] value) {
            ends(launch, "answered " + launch.shardRequest.id);
        }

        @Override
        public void probed(String from, long probe, boolean good, SchedulerHost.LoadReport report) {}

        @Override
        public void spoilt(SearcherLink from, String why, InFlightAttempt launch) {
            told.add("spoilt " + why);
        }

        @Override
        public void closed(SearcherLink from, String why, List<InFlightAttempt> never, List<InFlightAttempt> perhaps) {
            told.add("closed, never " + never.size() + ", perhaps " + perhaps.size());
        }

        @Override
        public boolean mayBegin(InFlightAttempt launch) {
            return true;
        }

        @Override
        public void unsent(List<InFlightAttempt> launches) {
            launches.forEach(each -> ends(each, "unsent " + each.shardRequest.id));
        }

        @Override
        public void notUp(SearcherLink from, List<InFlightAttempt> launches) {
            launches.forEach(each -> ends(each, "not up " + each.shardRequest.id));
        }

        private void ends(InFlightAttempt launch, String how) {
            told.add(how);
            launch.ended = true;
            launch.call.connection.onAttemptEnded(launch);
        }
    }

    @BeforeEach
    void connects() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new Loop(worker.getIoThread(), new Log(System.err, 10));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        limits = Limits.of(JsonParser.parseString(
                        "{\"settings\":{\"categories\":[],\"bounds\":" + "{\"multiplex\":10,\"dial-timeout-ns\":1e9}}}")
                .getAsJsonObject());
        onLoop(() -> {
            link = new SearcherLink(
                    "a",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    loop,
                    limits,
                    new Told());
            link.dial();
        });
        searcher = server.accept();
        onLoop(() -> {});
    }

    @AfterEach
    void close() throws Exception {
        searcher.close();
        server.close();
        worker.shutdownNow();
    }

    private interface Work {
        void run() throws Exception;
    }

    /** Runs it as one event of the loop, which does nothing else meanwhile. */
    private void onLoop(Work work) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.later("a test", () -> {
            try {
                work.run();
            } catch (Exception wrong) {
                told.add("failed: " + wrong);
            } finally {
                done.countDown();
            }
        });
        assertTrue(done.await(WAIT, TimeUnit.SECONDS));
    }

    private static InFlightAttempt launch(String query, int bytes) {
        OpenQuery asked = new OpenQuery(query, 0, 10, null, null);
        asked.filter = new byte[bytes];
        asked.addShardRequest(0, 1);
        return new InFlightAttempt(asked.shardRequests.get(query + ".0"), 0, "a", 0, 10);
    }

    /** Reads one call's frame at the searcher. */
    private void readCall() throws IOException {
        DataInputStream in = new DataInputStream(searcher.getInputStream());
        in.readFully(new byte[Integer.reverseBytes(in.readInt())]);
    }

    private void answer(String part) throws IOException {
        byte[] text = ("5" + part + " S 1 -\nvalue").getBytes(StandardCharsets.UTF_8);
        searcher.getOutputStream()
                .write(ByteBuffer.allocate(4 + text.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(text.length)
                        .put(text)
                        .array());
    }

    private String next() throws InterruptedException {
        String one = told.poll(WAIT, TimeUnit.SECONDS);
        assertNotNull(one, "nothing more was told");
        return one;
    }

    @Test
    void answersThatHaveComeCountBeforeTheWriteThatFindsTheConnectionBroken() throws Exception {
        onLoop(() -> link.send(List.of(launch("q1", 3))));
        readCall();
        onLoop(() -> {
            answer("q1.0");
            searcher.setSoLinger(true, 0);
            searcher.close();
            for (int each = 0; each < 3; each++) {
                link.sendProbe(each, false);
            }
        });
        assertEquals("answered q1.0", next());
        assertEquals("closed, never 0, perhaps 0", next());
    }

    @Test
    void aFrameBegunAndNoLongerWantedTakesNoOtherCallWithIt() throws Exception {
        onLoop(() -> link.send(List.of(launch("q1", 3))));
        readCall();
        InFlightAttempt large = launch("q2", 64 << 20);
        InFlightAttempt behind = launch("q3", 3);
        onLoop(() -> {
            link.send(List.of(large));
            link.send(List.of(behind));
        });
        onLoop(() -> {
            assertEquals(ReplicaCall.WriteState.PARTIAL, large.call.writeState);
            link.cancel(large, false);
            large.ended = true;
            link.onAttemptEnded(large);
        });
        assertEquals("unsent q3.0", next());
        answer("q1.0");
        assertEquals("answered q1.0", next());
        assertEquals("closed, never 0, perhaps 0", next());
    }

    @Test
    void aDialThatIsLateGivesBackWhatWaitsAndServesWhatComesAfterItIsUp() throws Exception {
        List<Socket> fill = new ArrayList<>();
        for (int each = 0; each < 2; each++) {
            // They fill the queue of connections, so that the next one does not come up yet.
            fill.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        SearcherLink[] second = new SearcherLink[1];
        onLoop(() -> {
            second[0] = new SearcherLink(
                    "a",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    loop,
                    limits,
                    new Told());
            second[0].dial();
            second[0].send(List.of(launch("q1", 3)));
        });
        assertEquals("not up q1.0", next());
        onLoop(() -> assertFalse(second[0].hasCapacity(), "nothing new waits for it"));
        for (Socket each : fill) {
            server.accept().close();
            each.close();
        }
        Socket late = server.accept();
        boolean[] up = new boolean[1];
        while (!up[0]) {
            onLoop(() -> up[0] = second[0].hasCapacity());
        }
        onLoop(() -> second[0].send(List.of(launch("q2", 3))));
        searcher.close();
        searcher = late;
        readCall();
        answer("q2.0");
        String one = next();
        assertEquals("answered q2.0", one.startsWith("closed") ? next() : one);
    }
}
