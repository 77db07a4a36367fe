package pinewick;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections to replicas that break, stop responding or deliver invalid data. */
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
                        client.readResponse().startsWith("200 {\"entire\":true,\"items\":[{\"slice\":0,\"body\":\"b-"),
                        kind);
            }
            assertNotNull(
                    a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS), "the router closed the connection after " + kind);
            String counters = client.get("/counters");
            assertTrue(counters.contains("faults 0\n") && !counters.contains("timed_out"), kind + counters);
            router.destroyForcibly().waitFor();
        }
        FakeReplica late = new FakeReplica("a", 0, "again");
        start(late);
        Client first = new Client();
        first.post("first", "unrepeatable", "[0]", "", false);
        assertTrue(first.readResponse().startsWith("200 "));
        Client second = new Client();
        second.post("second", "unrepeatable", "[0]", "", false);
        assertTrue(
                second.readResponse().startsWith("200 "),
                "a duplicate response to the first query does not end the second");
        router.destroyForcibly().waitFor();
        for (String kind : List.of("twice", "report", "noise")) {
            start(new FakeReplica("a", 0, kind));
            Client client = new Client();
            for (int each = 0; each < 3; each++) {
                client.post(kind + each, "unrepeatable", "[0]", "", false);
                assertTrue(client.readResponse().startsWith("200 "), kind);
            }
            router.destroyForcibly().waitFor();
        }
    }

    @Test
    void partsOfAKilledReplicaAreRetriedOnlyWhereThatIsSafe() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "reset");
        start(a, new FakeReplica("b", 0, "answer"));
        Client client = new Client();
        boolean retried = false;
        for (int each = 0; each < 20 && !retried; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
            retried = !a.frames.isEmpty();
        }
        assertTrue(retried, "the killed replica was tried, and its part was retried on the other");
        router.destroyForcibly().waitFor();
        start(new FakeReplica("c", 0, "reset"));
        client = new Client();
        client.post("once", "unrepeatable", "[0]", "", false);
        assertTrue(
                client.readResponse().startsWith("500 "),
                "the part may have been executed, so the query is not declined");
    }

    @Test
    void retryWaitingForAConnectionIsNotWrittenAfterItsDedupWindow() throws Exception {
        dedupWindowNs = "4e8";
        connectTimeoutNs = "3e9";
        FakeReplica b = new FakeReplica("b", 0, "late");
        for (int each = 0; each < 2; each++) {
            // These fill the accept backlog, so that the router's own connection is not established yet.
            open.add(new Socket(InetAddress.getLoopbackAddress(), b.server.getLocalPort()));
        }
        start(new FakeReplica("a", 0, "reset"), b);
        Client client = new Client();
        client.post("q1", "deduplicated", "[0]", "Idempotency-Key: k\r\n", false);
        assertTrue(client.readResponse().startsWith("500 "));
        b.release.add("accept");
        client.post("q2", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("200 "));
        assertTrue(
                b.frames.stream().noneMatch(frame -> frame.contains("q1")),
                "the deduplication window of q1 had passed");
    }

    @Test
    void partOfASilentReplicaIsRetriedElsewhere() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "silent");
        start(a, new FakeReplica("b", 0, "answer"));
        Client client = new Client();
        for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
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
                assertTrue(client.readResponse().startsWith("200 "), kind);
            }
            assertTrue(
                    a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS) != null,
                    "the router closed the connection after " + kind);
            assertTrue(client.get("/counters").contains("faults 0\n"));
            router.destroyForcibly().waitFor();
        }
    }
}
