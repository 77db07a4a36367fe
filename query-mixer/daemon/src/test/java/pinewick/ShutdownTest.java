package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Events during an orderly shutdown. */
class ShutdownTest extends RouterProcessHarness {
    @Test
    void acceptedQueriesAreAnsweredBeforeTheExit() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "held");
        start(a);
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        router.destroy();
        Client late = new Client();
        String ready = "200 ready";
        while (ready.startsWith("200")) {
            late.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            ready = late.readResponse();
        }
        assertTrue(ready.startsWith("500 "), ready);
        a.release.add("go");
        assertTrue(client.readResponse().startsWith("200 "));
        assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
    }

    /** Returns once the router is draining: it still accepts connections and reports that it is not ready. */
    private void startDraining() throws Exception {
        router.destroy();
        Client late = new Client();
        String ready = "200 ";
        while (ready.startsWith("200")) {
            late.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            ready = late.readResponse();
        }
    }

    @Test
    void connectionsInTheAcceptBacklogAreAnsweredWhenTheListenerCloses() throws Exception {
        start(new FakeReplica("a", 0, "answer"));
        startDraining();
        signal("STOP");
        List<Client> waiting = new ArrayList<>();
        for (int each = 0; each < 5; each++) {
            Client client = new Client();
            client.post("q" + each, "idempotent", "[0]", "", false);
            waiting.add(client);
        }
        assertFalse(
                router.waitFor(700, TimeUnit.MILLISECONDS), "the listener is due to close while the router is stopped");
        signal("CONT");
        for (Client client : waiting) {
            assertTrue(client.readResponse().startsWith("200 "));
        }
        assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
    }

    @Test
    void requestThatCannotEndBeforeTheExitIsRejectedAtOnce() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "silent");
        start(a);
        deadlineSeconds = "30";
        startDraining();
        Client client = new Client();
        long began = System.nanoTime();
        client.post("q", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("503 "));
        assertTrue(System.nanoTime() - began < 1e9);
        assertEquals("end", client.readEnd());
        assertEquals(0, a.frames.size());
    }

    @Test
    void idleClientIsClosedWithoutAReset() throws Exception {
        start(new FakeReplica("a", 0, "answer"));
        Client idle = new Client();
        idle.get("/health/live");
        router.destroy();
        assertEquals("end", idle.readEnd());
        idle.close();
        assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
    }

    @Test
    void unreadLogBlocksNeitherQueriesNorTheExit() throws Exception {
        Path pipe = folder.resolve("log");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (RandomAccessFile both = new RandomAccessFile(pipe.toFile(), "rw")) {
            both.write(new byte[64 << 10]); // the capacity of the pipe
            log = ProcessBuilder.Redirect.to(pipe.toFile());
            start(new FakeReplica("a", 0, "answer"));
            Client client = new Client();
            client.post("q", "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
            router.destroy();
            assertEquals("end", client.readEnd());
            client.close();
            assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, router.exitValue());
        }
    }

    @Test
    void signalsThatComeTwiceOrDuringTheStartEndItInOrder() throws Exception {
        discovery.holdsResponses = true;
        FakeReplica a = new FakeReplica("a", 0, "answer");
        launch(a);
        assertNotNull(
                discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS),
                "the router is starting and has not read the list yet");
        router.destroy();
        sendSighup();
        router.destroy();
        assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
    }
}
