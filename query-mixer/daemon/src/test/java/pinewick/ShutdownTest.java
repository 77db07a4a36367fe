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
        mixer.destroy();
        Client late = new Client();
        String ready = "200 ready";
        while (ready.startsWith("200")) {
            late.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            ready = late.answer();
        }
        assertTrue(ready.startsWith("500 "), ready);
        a.release.add("go");
        assertTrue(client.answer().startsWith("200 "));
        assertTrue(mixer.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
    }

    /** Returns once the mixer is draining: it still accepts connections and reports that it is not ready. */
    private void startDraining() throws Exception {
        mixer.destroy();
        Client late = new Client();
        String ready = "200 ";
        while (ready.startsWith("200")) {
            late.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            ready = late.answer();
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
        assertFalse(mixer.waitFor(700, TimeUnit.MILLISECONDS), "the door is due to close while the mixer stands still");
        signal("CONT");
        for (Client client : waiting) {
            assertTrue(client.answer().startsWith("200 "));
        }
        assertTrue(mixer.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
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
        assertTrue(client.answer().startsWith("503 "));
        assertTrue(System.nanoTime() - began < 1e9);
        assertEquals("end", client.ending());
        assertEquals(0, a.frames.size());
    }

    @Test
    void idleClientIsClosedWithoutAReset() throws Exception {
        start(new FakeReplica("a", 0, "answer"));
        Client resting = new Client();
        resting.get("/health/live");
        mixer.destroy();
        assertEquals("end", resting.ending());
        resting.close();
        assertTrue(mixer.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
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
            assertTrue(client.answer().startsWith("200 "));
            mixer.destroy();
            assertEquals("end", client.ending());
            client.close();
            assertTrue(mixer.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, mixer.exitValue());
        }
    }

    @Test
    void signalsThatComeTwiceOrDuringTheStartEndItInOrder() throws Exception {
        discovery.held = true;
        FakeReplica a = new FakeReplica("a", 0, "answer");
        launch(a);
        assertNotNull(
                discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS),
                "it is starting: the list is not read yet");
        mixer.destroy();
        sendSighup();
        mixer.destroy();
        assertTrue(mixer.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
    }
}
