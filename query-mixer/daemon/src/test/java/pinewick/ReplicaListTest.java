package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The replica list: drains, changed addresses, new configurations, discovery agents that stop responding. */
class ReplicaListTest extends RouterProcessHarness {
    @Test
    void drainingReplicaGetsNoNewAttemptsAndChangedAddressIsFollowed() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 0, "answer");
        start(a, b);
        Client client = new Client();
        discovery.watchRequests.clear();
        discovery.sendUpdate("this is no list");
        discovery.watchRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        discovery.revision = 7;
        discovery.sendUpdate(listUpdate(false, a.entry("draining"), b.entry("ready")));
        await(client, "list-pieces 4\n");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
        FakeReplica moved = new FakeReplica("b", 0, "answer");
        discovery.revision = 8;
        discovery.sendUpdate(listUpdate(false, moved.entry("ready")));
        await(client, "list-pieces 5\n");
        b.frames.clear();
        client.post("moved", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("200 "));
        assertEquals(0, b.frames.size());
        assertEquals(1, moved.frames.size());
    }

    /**
     * Seconds after its last line for which a list counts as confirmed, so that a router does not request a full one.
     */
    private static final double CONFIRMED_SECONDS = 3;

    private static final double HEARTBEAT_INTERVAL_SECONDS = 1;

    @Test
    void aReloadMovesTheWatchAndAFileThatIsWrongChangesNothing() throws Exception {
        // The test checks what survives reloads, however long these take, and not the time of a query.
        goalNs = "40e9";
        hardLimitNs = "50e9";
        deadlineSeconds = "45";
        FakeReplica a = new FakeReplica("a", 0, "held");
        start(a, new FakeReplica("b", 1, "answer"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        Path file = folder.resolve("config.json");
        String before = Files.readString(file);
        FakeDiscovery other = new FakeDiscovery();
        other.revision = 5;
        other.list = discovery.list;
        for (String wrong : List.of(before.substring(0, 200), before.replace(discovery.address(), "nowhere"))) {
            Files.writeString(file, wrong);
            sendSighup();
        }
        discovery.endedWatches.clear();
        long leftAt = System.nanoTime();
        Files.writeString(file, before.replace(discovery.address(), "127.0.0.1:1"));
        sendSighup();
        assertEquals(
                "ended",
                discovery.endedWatches.poll(WAIT_SECONDS, TimeUnit.SECONDS),
                "the watch on the old address ends at once");
        discovery.watchRequests.clear();
        Files.writeString(file, before.replace(discovery.address(), other.address()));
        sendSighup();
        sendSighup();
        String request = other.watchRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(
                request != null && request.contains("index=5 "),
                "the watch continues from the current revision: " + request);
        double unconfirmedSeconds = HEARTBEAT_INTERVAL_SECONDS + (System.nanoTime() - leftAt) / 1e9;
        assertTrue(
                other.fullListRequests.isEmpty() || unconfirmedSeconds >= CONFIRMED_SECONDS,
                "a change of the address needs no full list");
        a.release.add("go");
        assertTrue(
                client.readResponse().startsWith("200 "), "the accepted query and its connection survive the reload");
        FakeReplica c = new FakeReplica("c", 0, "held");
        long updates = acceptedUpdates(client);
        assertTrue(
                updates == 2 || unconfirmedSeconds >= CONFIRMED_SECONDS,
                "only the list known at the start and the full one: " + updates);
        other.sendUpdate("{\"revision\":6,\"complete\":false,\"members\":[" + a.entry("draining") + ','
                + c.entry("ready") + "]}");
        await(client, "list-pieces " + (updates + 1) + "\n");
        client.post("q2", "idempotent", "[0]", "", false);
        assertNotNull(c.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS), "updates are received from the new address");
        c.release.add("go");
        assertTrue(client.readResponse().startsWith("200 "));
        assertEquals(0, a.frames.size(), "a draining replica gets no new parts");
        Thread.sleep(300);
        assertEquals(0, discovery.watchRequests.size(), "nothing is sent to the old address");
        client.post("q3", "idempotent", "[0]", "", false);
        assertNotNull(c.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        router.destroy();
        sendSighup(); // it is still running, as it has a query to answer
        c.release.add("go");
        assertTrue(client.readResponse().startsWith("200 "), "a reload during the shutdown loses no query");
        assertTrue(router.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
    }

    /** Number of full lists and updates that the router accepted, including the one in its configuration. */
    private static long acceptedUpdates(Client client) throws Exception {
        return client.get("/counters")
                .lines()
                .filter(line -> line.startsWith("list-pieces "))
                .mapToLong(line -> Long.parseLong(line.substring("list-pieces ".length())))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void watchThatSendsOnlyItsHeadHidesNoChangeForSixSeconds() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 0, "answer");
        start(a, b);
        await(new Client(), "list-pieces 2\n");
        discovery.isSilent = true;
        long began = System.nanoTime();
        discovery.revision = 6;
        discovery.list = listUpdate(true, a.entry("draining"), b.entry("ready"));
        Client client = new Client();
        await(client, "list-pieces 3\n");
        assertTrue(System.nanoTime() - began < 6e9, "the change is known within 6 s");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
        began = System.nanoTime();
        discovery.revision = 7;
        discovery.list = listUpdate(true, a.entry("ready"), b.entry("ready"));
        await(client, "list-pieces 4\n");
        assertTrue(System.nanoTime() - began < 6e9, "the new watch is silent as well");
    }

    @Test
    void fragmentedMultiLineObjectIsOneUpdate() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 0, "answer");
        start(a, b);
        discovery.fullListRequests.clear();
        discovery.revision = 6;
        String multiLine = listUpdate(
                        false,
                        a.entry("draining"),
                        b.entry("ready").replace("\"locality\":\"z\"", "\"locality\":\"}]\\\"{\\\\\""))
                .replace(",", ",\n\n  ")
                .replace("{", "{\r\n");
        for (char one : (multiLine + "\n").toCharArray()) {
            discovery.chunk("" + one);
        }
        Client client = new Client();
        await(client, "list-pieces 3\n");
        a.frames.clear();
        client.post("q", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().endsWith("\"b.q.0\"}]}"));
        assertEquals(0, discovery.fullListRequests.size(), "no full list was requested");
    }

    @Test
    void malformedWatchIsRetriedWithBackoff() throws Exception {
        start(new FakeReplica("a", 0, "answer"));
        discovery.invalidWatchResponse = "no list at all";
        discovery.fullListRequests.clear();
        discovery.sendUpdate("no list");
        assertNotNull(discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        long began = System.nanoTime();
        for (int each = 0; each < 4; each++) {
            assertNotNull(discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        assertTrue(System.nanoTime() - began > 1.2e9, "not retried ten times per second");
        discovery.invalidWatchResponse = null;
        discovery.revision = 9;
        discovery.list = listUpdate(true);
        Client client = new Client();
        while (true) {
            client.post("q" + System.nanoTime(), "idempotent", "[0]", "", false);
            if (client.readResponse().startsWith("503")) {
                break;
            }
        }
    }

    @Test
    void fullListResetAfterItsLastByteIsNotAccepted() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        discovery.resetResponses.set(1);
        discovery.holdsResponses = true;
        launch(a);
        assertNotNull(discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        discovery.release.add("go");
        assertNotNull(
                discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS), "the router requests the list again");
        discovery.list = listUpdate(true, a.entry("ready"), new FakeReplica("b", 1, "answer").entry("ready"));
        discovery.release.add("go");
        awaitReady();
        Client client = new Client();
        assertTrue(client.get("/counters").contains("list-pieces 2\n"), "the known list and the second response");
        client.post("q", "idempotent", "[0,1]", "", false);
        assertTrue(client.readResponse().startsWith("200 "));
    }

    @Test
    void newProcessAcceptsNoQueryBeforeItReadTheCurrentList() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 0, "answer");
        knownEntries = new String[] {a.entry("ready"), b.entry("ready")};
        discovery.holdsResponses = true;
        launch(a, b);
        discovery.list = listUpdate(true, a.entry("draining"), b.entry("ready"));
        assertNotNull(discovery.fullListRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        assertThrows(ConnectException.class, Client::new, "the router does not listen yet");
        discovery.release.add("go");
        awaitReady();
        Client client = new Client();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
    }

    @Test
    void knownListServesWhileTheAgentIsUnreachable() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        knownEntries = new String[] {a.entry("ready")};
        discovery.server.close();
        launch(a);
        awaitReady();
        Client client = new Client();
        client.post("q", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("200 "));
    }

    @Test
    void olderListDoesNotRevertADrain() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 0, "answer");
        start(a, b);
        discovery.revision = 8;
        discovery.sendUpdate(listUpdate(false, a.entry("draining")));
        discovery.revision = 7;
        discovery.sendUpdate(listUpdate(false, a.entry("ready")));
        discovery.revision = 9;
        discovery.sendUpdate(listUpdate(false, b.entry("ready")));
        Client client = new Client();
        await(client, "list-pieces 4\n");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.readResponse().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
    }
}
