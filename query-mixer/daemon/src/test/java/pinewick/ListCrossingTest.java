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

/** The list of searchers: drains, moved addresses, new configurations, agents that fall silent. */
class ListCrossingTest extends MixerHarness {
    @Test
    void aDrainingSearcherGetsNothingNewAndAChangedAddressIsFollowed() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 0, "answer");
        start(a, b);
        Client client = new Client();
        discovery.watches.clear();
        discovery.tell("this is no list");
        discovery.watches.poll(WAIT, TimeUnit.SECONDS);
        discovery.revision = 7;
        discovery.tell(piece(false, a.entry("draining"), b.entry("ready")));
        until(client, "list-pieces 4\n");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
        Searcher moved = new Searcher("b", 0, "answer");
        discovery.revision = 8;
        discovery.tell(piece(false, moved.entry("ready")));
        until(client, "list-pieces 5\n");
        b.frames.clear();
        client.post("moved", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("200 "));
        assertEquals(0, b.frames.size());
        assertEquals(1, moved.frames.size());
    }

    /** For so long after its last line a list counts as proven, and nothing makes a mixer ask for a whole one. */
    private static final double PROVEN = 3;

    private static final double LINE_EVERY = 1;

    @Test
    void aReloadMovesTheWatchAndAFileThatIsWrongChangesNothing() throws Exception {
        // The story is about what stays across reloads, however long these take, and not about a query's time.
        goal = "40e9";
        hardLimit = "50e9";
        deadline = "45";
        Searcher a = new Searcher("a", 0, "held");
        start(a, new Searcher("b", 1, "answer"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT, TimeUnit.SECONDS));
        Path file = folder.resolve("config.json");
        String before = Files.readString(file);
        Discovery other = new Discovery();
        other.revision = 5;
        other.first = discovery.first;
        for (String wrong : List.of(before.substring(0, 200), before.replace(discovery.address(), "nowhere"))) {
            Files.writeString(file, wrong);
            hangUp();
        }
        discovery.ended.clear();
        long left = System.nanoTime();
        Files.writeString(file, before.replace(discovery.address(), "127.0.0.1:1"));
        hangUp();
        assertEquals("ended", discovery.ended.poll(WAIT, TimeUnit.SECONDS), "the old address is left at once");
        discovery.watches.clear();
        Files.writeString(file, before.replace(discovery.address(), other.address()));
        hangUp();
        hangUp();
        String asked = other.watches.poll(WAIT, TimeUnit.SECONDS);
        assertTrue(asked != null && asked.contains("index=5 "), "it goes on from the revision in hand: " + asked);
        double unproven = LINE_EVERY + (System.nanoTime() - left) / 1e9;
        assertTrue(other.wholes.isEmpty() || unproven >= PROVEN, "no whole list is needed for a move");
        a.release.add("go");
        assertTrue(client.answer().startsWith("200 "), "what was taken, and its connection, stay");
        Searcher c = new Searcher("c", 0, "held");
        long pieces = pieces(client);
        assertTrue(pieces == 2 || unproven >= PROVEN, "only the list known at the start and the whole one: " + pieces);
        other.tell("{\"revision\":6,\"complete\":false,\"members\":[" + a.entry("draining") + ',' + c.entry("ready")
                + "]}");
        until(client, "list-pieces " + (pieces + 1) + "\n");
        client.post("q2", "idempotent", "[0]", "", false);
        assertNotNull(c.frames.poll(WAIT, TimeUnit.SECONDS), "news come from the new address");
        c.release.add("go");
        assertTrue(client.answer().startsWith("200 "));
        assertEquals(0, a.frames.size(), "one that drains gets nothing new");
        Thread.sleep(300);
        assertEquals(0, discovery.watches.size(), "nothing goes back to the old address");
        client.post("q3", "idempotent", "[0]", "", false);
        assertNotNull(c.frames.poll(WAIT, TimeUnit.SECONDS));
        mixer.destroy();
        hangUp(); // it is still there, as it has a query to answer
        c.release.add("go");
        assertTrue(client.answer().startsWith("200 "), "a reload while it stops loses nothing");
        assertTrue(mixer.waitFor(WAIT, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
    }

    /** How many lists and changes the mixer took, the one of its configuration with them. */
    private static long pieces(Client client) throws Exception {
        return client.get("/counters")
                .lines()
                .filter(line -> line.startsWith("list-pieces "))
                .mapToLong(line -> Long.parseLong(line.substring("list-pieces ".length())))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aWatchThatSendsItsHeadAndNoMoreHidesNoChangeForSixSeconds() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 0, "answer");
        start(a, b);
        until(new Client(), "list-pieces 2\n");
        discovery.mute = true;
        long began = System.nanoTime();
        discovery.revision = 6;
        discovery.first = piece(true, a.entry("draining"), b.entry("ready"));
        Client client = new Client();
        until(client, "list-pieces 3\n");
        assertTrue(System.nanoTime() - began < 6e9, "told by then");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
        began = System.nanoTime();
        discovery.revision = 7;
        discovery.first = piece(true, a.entry("ready"), b.entry("ready"));
        until(client, "list-pieces 4\n");
        assertTrue(System.nanoTime() - began < 6e9, "the watch opened since says nothing either");
    }

    @Test
    void anObjectOverManyLinesAndCutAnywhereIsOneChange() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 0, "answer");
        start(a, b);
        discovery.wholes.clear();
        discovery.revision = 6;
        String odd = piece(
                        false,
                        a.entry("draining"),
                        b.entry("ready").replace("\"locality\":\"z\"", "\"locality\":\"}]\\\"{\\\\\""))
                .replace(",", ",\n\n  ")
                .replace("{", "{\r\n");
        for (char one : (odd + "\n").toCharArray()) {
            discovery.chunk("" + one);
        }
        Client client = new Client();
        until(client, "list-pieces 3\n");
        a.frames.clear();
        client.post("q", "idempotent", "[0]", "", false);
        assertTrue(client.answer().endsWith("\"b.q.0\"}]}"));
        assertEquals(0, discovery.wholes.size(), "nothing had to be asked for again");
    }

    @Test
    void aWatchThatCantBeReadIsAskedForWithGrowingPauses() throws Exception {
        start(new Searcher("a", 0, "answer"));
        discovery.nonsense = "no list at all";
        discovery.wholes.clear();
        discovery.tell("no list");
        assertNotNull(discovery.wholes.poll(WAIT, TimeUnit.SECONDS));
        long began = System.nanoTime();
        for (int each = 0; each < 4; each++) {
            assertNotNull(discovery.wholes.poll(WAIT, TimeUnit.SECONDS));
        }
        assertTrue(System.nanoTime() - began > 1.2e9, "not ten times a second");
        discovery.nonsense = null;
        discovery.revision = 9;
        discovery.first = piece(true);
        Client client = new Client();
        while (true) {
            client.post("q" + System.nanoTime(), "idempotent", "[0]", "", false);
            if (client.answer().startsWith("503")) {
                break;
            }
        }
    }

    @Test
    void aWholeListThatIsResetBehindItsLastByteIsNone() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        discovery.resets.set(1);
        discovery.held = true;
        launch(a);
        assertNotNull(discovery.wholes.poll(WAIT, TimeUnit.SECONDS));
        discovery.release.add("go");
        assertNotNull(discovery.wholes.poll(WAIT, TimeUnit.SECONDS), "it asks again");
        discovery.first = piece(true, a.entry("ready"), new Searcher("b", 1, "answer").entry("ready"));
        discovery.release.add("go");
        awaitReady();
        Client client = new Client();
        assertTrue(client.get("/counters").contains("list-pieces 2\n"), "the one known and the second answer");
        client.post("q", "idempotent", "[0,1]", "", false);
        assertTrue(client.answer().startsWith("200 "));
    }

    @Test
    void aNewProcessTakesNothingBeforeItHasReadWhatTheAgentHolds() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 0, "answer");
        known = new String[] {a.entry("ready"), b.entry("ready")};
        discovery.held = true;
        launch(a, b);
        discovery.first = piece(true, a.entry("draining"), b.entry("ready"));
        assertNotNull(discovery.wholes.poll(WAIT, TimeUnit.SECONDS));
        assertThrows(ConnectException.class, Client::new, "the door is not open yet");
        discovery.release.add("go");
        awaitReady();
        Client client = new Client();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
    }

    @Test
    void besideAnAgentThatCantBeHadTheKnownListServes() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        known = new String[] {a.entry("ready")};
        discovery.server.close();
        launch(a);
        awaitReady();
        Client client = new Client();
        client.post("q", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("200 "));
    }

    @Test
    void anOlderListUndoesNoDrain() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 0, "answer");
        start(a, b);
        discovery.revision = 8;
        discovery.tell(piece(false, a.entry("draining")));
        discovery.revision = 7;
        discovery.tell(piece(false, a.entry("ready")));
        discovery.revision = 9;
        discovery.tell(piece(false, b.entry("ready")));
        Client client = new Client();
        until(client, "list-pieces 4\n");
        a.frames.clear();
        for (int each = 0; each < 10; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertEquals(0, a.frames.size());
    }
}
