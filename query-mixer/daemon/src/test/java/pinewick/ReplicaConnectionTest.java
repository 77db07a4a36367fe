package pinewick;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections to replicas that break, fall silent or deliver invalid data. */
class ReplicaConnectionTest extends RouterProcessHarness {
    @Test
    void invalidResponsesEndTheirOwnAttemptsAndValidOnesKeepTheirValue() throws Exception {
        for (String kind : List.of("letter", "end", "line", "empty", "control", "short", "3GB")) {
            FakeReplica a = new FakeReplica("a-" + kind, 0, kind);
            start(a, new FakeReplica("b-" + kind, 0, "answer"));
            Client client = new Client();
            for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
                client.post(kind + each, "idempotent", "[0]", "", false);
                assertTrue(
                        client.answer().startsWith("200 {\"entire\":true,\"items\":[{\"slice\":0,\"body\":\"b-"), kind);
            }
            assertNotNull(a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS), "the mixer closed it after " + kind);
            String figures = client.get("/counters");
            assertTrue(figures.contains("faults 0\n") && !figures.contains("timed_out"), kind + figures);
            mixer.destroyForcibly().waitFor();
        }
        FakeReplica late = new FakeReplica("a", 0, "again");
        start(late);
        Client first = new Client();
        first.post("first", "unrepeatable", "[0]", "", false);
        assertTrue(first.answer().startsWith("200 "));
        Client second = new Client();
        second.post("second", "unrepeatable", "[0]", "", false);
        assertTrue(second.answer().startsWith("200 "), "the first one's second copy does not end the second");
        mixer.destroyForcibly().waitFor();
        for (String kind : List.of("twice", "report", "noise")) {
            start(new FakeReplica("a", 0, kind));
            Client client = new Client();
            for (int each = 0; each < 3; each++) {
                client.post(kind + each, "unrepeatable", "[0]", "", false);
                assertTrue(client.answer().startsWith("200 "), kind);
            }
            mixer.destroyForcibly().waitFor();
        }
    }

    @Test
    void partsOfAKilledReplicaAreRetriedOnlyWhereThatIsSafe() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "reset");
        start(a, new FakeReplica("b", 0, "answer"));
        Client client = new Client();
        boolean again = false;
        for (int each = 0; each < 20 && !again; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
            again = !a.frames.isEmpty();
        }
        assertTrue(again, "the killed one was tried, and its part went to the other");
        mixer.destroyForcibly().waitFor();
        start(new FakeReplica("c", 0, "reset"));
        client = new Client();
        client.post("once", "unrepeatable", "[0]", "", false);
        assertTrue(client.answer().startsWith("500 "), "it may have run, so it is not declined");
    }

    @Test
    void retryWaitingForAConnectionIsNotWrittenAfterItsDedupWindow() throws Exception {
        dedupWindowNs = "4e8";
        connectTimeoutNs = "3e9";
        FakeReplica b = new FakeReplica("b", 0, "late");
        for (int each = 0; each < 2; each++) {
            // These fill the accept backlog, so that the mixer's own connection is not established yet.
            open.add(new Socket(InetAddress.getLoopbackAddress(), b.server.getLocalPort()));
        }
        start(new FakeReplica("a", 0, "reset"), b);
        Client client = new Client();
        client.post("q1", "deduplicated", "[0]", "Idempotency-Key: k\r\n", false);
        assertTrue(client.answer().startsWith("500 "));
        b.release.add("accept");
        client.post("q2", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("200 "));
        assertTrue(b.frames.stream().noneMatch(frame -> frame.contains("q1")), "q1's window was over");
    }

    @Test
    void partOfASilentReplicaIsRetriedElsewhere() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "silent");
        start(a, new FakeReplica("b", 0, "answer"));
        Client client = new Client();
        for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertFalse(a.frames.isEmpty());
    }

    @Test
    void malformedFrameClosesOnlyItsConnection() throws Exception {
        for (String kind : List.of("garbage", "huge", "stranger", "X")) {
            FakeReplica a = new FakeReplica("a-" + kind, 0, kind);
            start(a, new FakeReplica("b-" + kind, 0, "answer"));
            Client client = new Client();
            for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
                client.post(kind + each, "idempotent", "[0]", "", false);
                assertTrue(client.answer().startsWith("200 "), kind);
            }
            assertTrue(a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS) != null, "the mixer closed it after " + kind);
            assertTrue(client.get("/counters").contains("faults 0\n"));
            mixer.destroyForcibly().waitFor();
        }
    }
}
