package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Stories of the whole program on sockets, with small searchers and a small discovery of the project's own. */
@Timeout(60)
class ServeTest {
    private static final int WAIT = 20;

    @TempDir
    Path folder;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private final Discovery discovery;
    private Process mixer;
    private int port;
    private int sockets = 1024;
    private String goal = "1e9";
    private String floor = "1";
    private String window = "2e9";
    private String dial = "25e7";

    ServeTest() throws IOException {
        discovery = new Discovery();
    }

    @AfterEach
    void close() throws Exception {
        if (mixer != null) {
            mixer.destroyForcibly().waitFor();
        }
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void aCalmQueryIsAnsweredWithTheValuesThatCame() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        Searcher b = new Searcher("b", 1, "answer");
        start(a, b);
        Client client = new Client();
        client.post("q1", "deduplicated", "[0,1]", "Idempotency-Key: k1\r\n", false);
        assertEquals("200 {\"entire\":true,\"items\":[{\"slice\":0,\"body\":\"a.q1.0\"},"
            + "{\"slice\":1,\"body\":\"b.q1.1\"}]}", client.answer());
        String frame = a.frames.poll(WAIT, TimeUnit.SECONDS);
        assertTrue(frame.matches("1q1\\.0 0 d=\\d+,k=k1 3\nt\u00e9"), frame);
        client.post("q2", "idempotent", "[0]", "", true);
        assertTrue(client.answer().startsWith("200 "), "a chunked body on the same connection");
        String figures = client.get("/counters");
        assertTrue(figures.contains("taken 2\n") && figures.contains("fulfilled-whole 2\n")
            && figures.contains("launched 3\n") && figures.contains("ended-fulfilled 3\n")
            && figures.contains("awaiting 0\n") && figures.contains("out 0\n"), figures);
    }

    @Test
    void anAnswerInPartSaysSo() throws Exception {
        goal = "4e8";
        floor = "0.5";
        start(new Searcher("a", 0, "answer"), new Searcher("b", 1, "silent"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0,1]", "", false);
        assertEquals("200 {\"entire\":false,\"items\":[{\"slice\":0,\"body\":\"a.q1.0\"}]}", client.answer());
    }

    @Test
    void badRequestsAreRefusedAndNothingIsLaunched() throws Exception {
        Searcher a = new Searcher("a", 0, "answer");
        start(a);
        Client client = new Client();
        String good = "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"x\"}";
        String kind = "Req-Kind: idempotent\r\n";
        String time = "Req-Deadline: 2.0\r\n";
        String[][] bad = {{"Req-Id: q\r\n" + kind + time, "{\"slices\":"}, {"Req-Id: q\r\n" + kind + time, "[]"},
            {kind + time, good}, {"Req-Id: q\r\n" + time, good}, {"Req-Id: q\r\n" + kind, good},
            {"Req-Id: q\r\n" + kind + "Req-Deadline: soon\r\n", good},
            {"Req-Id: q\r\n" + kind + "Req-Deadline: NaN\r\n", good},
            {"Req-Id: q\r\n" + kind + "Req-Deadline: -1\r\n", good},
            {"Req-Id: q\r\nReq-Kind: other\r\n" + time, good},
            {"Req-Id: q\r\nReq-Kind: deduplicated\r\n" + time, good},
            {"Req-Id: q r\r\n" + kind + time, good},
            {"Req-Id: q\r\n" + kind + time, good.replace("\"slice\":0", "\"slice\":99")},
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[{\"slice\":0,\"mass\":1},{\"slice\":0,\"mass\":1}]}"},
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[],\"filter\":\"x\"}"},
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[{\"slice\":0}],\"filter\":\"x\"}"},
            {"Req-Id: q\r\n" + kind + time, good + "more"},
            {"Req-Id: q\r\n" + kind + "Req-Deadline: 1e1\r\n", good},
            {"Req-Id: q\r\n" + kind + "Req-Deadline: 0x1p1\r\n", good},
            {"Req-Id: q\r\nReq-Id: q\r\n" + kind + time, good},
            {"Req-Id: q\r\n" + kind + time, good.replace("\"mass\":1", "\"mass\":0.9")},
            {"Req-Id: q\r\n" + kind + time, good.replace("\"mass\":1", "\"mass\":1.1")},
            {"Req-Id: q\r\n" + kind + time, good.replace("\"mass\":1", "\"mass\":\"1\"")},
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[{\"slice\":0,\"mass\":-1},{\"slice\":1,\"mass\":2}],"
                + "\"filter\":\"x\"}"},
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[{\"slice\":0,\"mass\":1}]}"}};
        for (String[] each : bad) {
            client.send("POST /api HTTP/1.1\r\nHost: h\r\n" + each[0] + "Content-Length: " + each[1].length()
                + "\r\n\r\n" + each[1]);
            String answer = client.answer();
            assertTrue(answer.startsWith("400 "), each[0] + each[1] + " brought " + answer);
        }
        assertTrue(client.get("/nowhere", "404").startsWith("path: no such"));
        client.send("GET /api HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(client.answer().startsWith("405 "));
        client.post("good", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("200 "), "the connection is still good");
        client.send("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: q\r\n" + kind + time + "Content-Length: 70000\r\n\r\n");
        assertTrue(client.answer().startsWith("413 "));
        Client chunked = new Client();
        chunked.send("POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + ("4000\r\n"
            + "x".repeat(0x4000) + "\r\n").repeat(5) + "0\r\n\r\n");
        assertEquals("413 ", chunked.answer());
        assertEquals("", chunked.answer(), "nothing more is read there");
        String post = "POST /api HTTP/1.1\r\nHost: h\r\n";
        String hidden = post + "Req-Id: hidden\r\n" + kind + time + "Content-Length: " + good.length() + "\r\n\r\n" + good;
        for (String odd : List.of("NONSENSE\r\n\r\n", post + "Content-Length: -7\r\n\r\n",
            post + "Content-Length: 99999999999999999999\r\n\r\n", post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
            post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
            "GET / HTTP/1.1\r\nHost: h\r\nLong: " + "y".repeat(20000) + "\r\n\r\n")) {
            Client broken = new Client();
            broken.send(odd);
            assertTrue(broken.answer().startsWith("400 "), odd);
            assertEquals("", broken.answer(), odd);
        }
        assertFalse(a.frames.stream().anyMatch(frame -> frame.contains("hidden")));
        String figures = new Client().get("/counters");
        assertTrue(figures.contains("bad-weight 5\n") && figures.contains("bad-framing "), figures);
        assertEquals(1, a.frames.size(), "only the good query was launched");
    }

    @Test
    void whoDoesNotSendAWholeRequestInTimeIsTurnedOutAndNobodyElse() throws Exception {
        Searcher a = new Searcher("a", 0, "held");
        start(a);
        Client kept = new Client();
        kept.get("/health/live");
        Client waits = new Client();
        waits.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT, TimeUnit.SECONDS));
        Client again = new Client();
        again.post("q1", "idempotent", "[0]", "", false);
        assertTrue(again.answer().startsWith("400 id: "), "the id of an open request");
        a.release.add("go");
        assertTrue(waits.answer().startsWith("200 "), "the first query with that id was not touched");
        String head = "POST /api HTTP/1.1\r\nHost: h\r\n";
        List<Client> slow = new ArrayList<>();
        for (String part : List.of("", "POST /a", head + "Content-Length: 50\r\n\r\n{", head
            + "Transfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            Client client = new Client();
            client.send(part);
            slow.add(client);
        }
        long began = System.nanoTime();
        for (Client client : slow) {
            String answer = client.answer();
            assertTrue(answer.isEmpty() || answer.startsWith("4"), answer);
        }
        assertTrue(System.nanoTime() - began < 2.9e9, "within 3 s");
        kept.get("/health/live");
    }

    @Test
    void spoiltAnswersEndTheirOwnLaunchesAndGoodOnesKeepTheirValue() throws Exception {
        for (String kind : List.of("letter", "end", "line", "empty", "control", "short", "3GB")) {
            Searcher a = new Searcher("a-" + kind, 0, kind);
            start(a, new Searcher("b-" + kind, 0, "answer"));
            Client client = new Client();
            for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
                client.post(kind + each, "idempotent", "[0]", "", false);
                assertTrue(client.answer().startsWith("200 {\"entire\":true,\"items\":[{\"slice\":0,\"body\":\"b-"), kind);
            }
            assertNotNull(a.ended.poll(WAIT, TimeUnit.SECONDS), "the mixer closed it after " + kind);
            String figures = client.get("/counters");
            assertTrue(figures.contains("faults 0\n") && !figures.contains("timed_out"), kind + figures);
            mixer.destroyForcibly().waitFor();
        }
        Searcher late = new Searcher("a", 0, "again");
        start(late);
        Client first = new Client();
        first.post("first", "unrepeatable", "[0]", "", false);
        assertTrue(first.answer().startsWith("200 "));
        Client second = new Client();
        second.post("second", "unrepeatable", "[0]", "", false);
        assertTrue(second.answer().startsWith("200 "), "the first one's second copy does not end the second");
        mixer.destroyForcibly().waitFor();
        for (String kind : List.of("twice", "report", "noise")) {
            start(new Searcher("a", 0, kind));
            Client client = new Client();
            for (int each = 0; each < 3; each++) {
                client.post(kind + each, "unrepeatable", "[0]", "", false);
                assertTrue(client.answer().startsWith("200 "), kind);
            }
            mixer.destroyForcibly().waitFor();
        }
    }

    @Test
    void aKilledSearchersPartsAreLaunchedAgainOnlyWhereThatIsHarmless() throws Exception {
        Searcher a = new Searcher("a", 0, "reset");
        start(a, new Searcher("b", 0, "answer"));
        Client client = new Client();
        boolean again = false;
        for (int each = 0; each < 20 && !again; each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
            again = !a.frames.isEmpty();
        }
        assertTrue(again, "the killed one was tried, and its part went to the other");
        mixer.destroyForcibly().waitFor();
        start(new Searcher("c", 0, "reset"));
        client = new Client();
        client.post("once", "unrepeatable", "[0]", "", false);
        assertTrue(client.answer().startsWith("500 "), "it may have run, so it is not declined");
    }

    @Test
    void aRepeatThatWaitsForAConnectionIsNotWrittenPastItsWindow() throws Exception {
        window = "4e8";
        dial = "3e9";
        Searcher b = new Searcher("b", 0, "late");
        for (int each = 0; each < 2; each++) {
            // They fill the queue of connections, so that the mixer's own does not come up yet.
            open.add(new Socket(InetAddress.getLoopbackAddress(), b.server.getLocalPort()));
        }
        start(new Searcher("a", 0, "reset"), b);
        Client client = new Client();
        client.post("q1", "deduplicated", "[0]", "Idempotency-Key: k\r\n", false);
        assertTrue(client.answer().startsWith("500 "));
        b.release.add("accept");
        client.post("q2", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("200 "));
        assertTrue(b.frames.stream().noneMatch(frame -> frame.contains("q1")), "q1's window was over");
    }

    @Test
    void aSilentSearchersPartIsLaunchedElsewhere() throws Exception {
        Searcher a = new Searcher("a", 0, "silent");
        start(a, new Searcher("b", 0, "answer"));
        Client client = new Client();
        for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertFalse(a.frames.isEmpty());
    }

    @Test
    void anUnusableFrameClosesItsConnectionAlone() throws Exception {
        for (String kind : List.of("garbage", "huge", "stranger", "X")) {
            Searcher a = new Searcher("a-" + kind, 0, kind);
            start(a, new Searcher("b-" + kind, 0, "answer"));
            Client client = new Client();
            for (int each = 0; each < 20 && a.frames.isEmpty(); each++) {
                client.post(kind + each, "idempotent", "[0]", "", false);
                assertTrue(client.answer().startsWith("200 "), kind);
            }
            assertTrue(a.ended.poll(WAIT, TimeUnit.SECONDS) != null, "the mixer closed it after " + kind);
            assertTrue(client.get("/counters").contains("faults 0\n"));
            mixer.destroyForcibly().waitFor();
        }
    }

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

    @Test
    void aQueryThatNobodyServesIsEndedByTheDecisionsAndNotByTheNet() throws Exception {
        goal = "3e9";
        start(new Searcher("a", 0, "silent"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertTrue(client.answer().startsWith("503 "), "a repeat is harmless");
        String figures = client.get("/counters");
        assertTrue(figures.contains("declined 1\n") && !figures.contains("ended-by-the-net"), figures);
        client.post("q2", "idempotent", "[1]", "", false);
        assertTrue(client.answer().startsWith("503 "), "nobody holds that shard");
        until(client, "kept 0\n");
    }

    @Test
    void aClientThatLeavesEndsItsQuery() throws Exception {
        Searcher a = new Searcher("a", 0, "silent");
        start(a);
        Client leaver = new Client();
        leaver.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT, TimeUnit.SECONDS));
        leaver.close();
        until(new Client(), "withdrawn 1\n");
    }

    @Test
    void whatWasTakenIsAnsweredBeforeTheEnd() throws Exception {
        Searcher a = new Searcher("a", 0, "held");
        start(a);
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT, TimeUnit.SECONDS));
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
        assertTrue(mixer.waitFor(WAIT, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
    }

    @Test
    void atTheLimitOfDescriptorsIdleClientsGoFirst() throws Exception {
        sockets = 160;
        start(new Searcher("a", 0, "answer"));
        List<Client> idle = new ArrayList<>();
        for (int each = 0; each < 120; each++) {
            idle.add(new Client());
        }
        for (int each = 0; each < 3; each++) {
            Client client = new Client();
            client.post("q" + each, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertTrue(mixer.isAlive());
    }

    @Test
    void aReloadMovesTheWatchAndAFileThatIsWrongChangesNothing() throws Exception {
        Searcher a = new Searcher("a", 0, "held");
        start(a, new Searcher("b", 1, "answer"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertNotNull(a.frames.poll(WAIT, TimeUnit.SECONDS));
        Path file = folder.resolve("config.json");
        String before = Files.readString(file);
        Discovery other = new Discovery();
        other.revision = 5;
        for (String wrong : List.of(before.substring(0, 200), before.replace(discovery.address(), "nowhere"))) {
            Files.writeString(file, wrong);
            hangUp();
        }
        Files.writeString(file, before.replace(discovery.address(), "127.0.0.1:1"));
        hangUp();
        assertEquals("ended", discovery.ended.poll(WAIT, TimeUnit.SECONDS), "the old address is left at once");
        discovery.watches.clear();
        Files.writeString(file, before.replace(discovery.address(), other.address()));
        hangUp();
        hangUp();
        String asked = other.watches.poll(WAIT, TimeUnit.SECONDS);
        assertTrue(asked != null && asked.contains("index=5 "), "it goes on from the revision in hand: " + asked);
        a.release.add("go");
        assertTrue(client.answer().startsWith("200 "), "what was taken, and its connection, stay");
        Searcher c = new Searcher("c", 0, "answer");
        other.tell("{\"revision\":6,\"complete\":false,\"members\":[" + a.entry("draining") + ',' + c.entry("ready")
            + "]}");
        until(client, "list-pieces 3\n");
        client.post("q2", "idempotent", "[0]", "", false);
        assertTrue(client.answer().endsWith("\"c.q2.0\"}]}"), "news come from the new address");
        Thread.sleep(300);
        assertEquals(0, discovery.watches.size(), "nothing goes back to the old address");
        mixer.destroy();
        hangUp();
        assertTrue(mixer.waitFor(WAIT, TimeUnit.SECONDS));
        assertEquals(0, mixer.exitValue());
    }

    private void hangUp() throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + mixer.pid()).start().waitFor());
        Thread.sleep(150);
    }

    @Test
    void whileManyConnectionsAreKeptAnAnswerEndsItsOwn() throws Exception {
        sockets = 160;
        start(new Searcher("a", 0, "answer"));
        Client client = new Client();
        List<Client> kept = new ArrayList<>();
        for (boolean crowd : new boolean[] {false, true}) {
            for (int each = 0; crowd && each < 30; each++) {
                kept.add(new Client());
                kept.get(each).get("/health/live");
            }
            client.post("q" + crowd, "idempotent", "[0]", "", false);
            assertTrue(client.answer().startsWith("200 "));
        }
        assertEquals("", client.answer(), "closed after its second answer");
    }

    @Test
    void aBadConfigurationIsNamed() throws Exception {
        for (String[] each : new String[][] {{"", "EDGE_CONFIG"}, {"{", "EDGE_CONFIG"}, {"{}", "EDGE_LISTEN"},
            {"{\"listen\":\"here\",\"discovery\":\"127.0.0.1:1\",\"settings\":{}}", "settings"}}) {
            Path file = folder.resolve("bad.json");
            Files.writeString(file, each[0]);
            ProcessBuilder builder = program(each[0].isEmpty() ? folder.resolve("none") : file);
            builder.redirectErrorStream(true);
            Process process = builder.start();
            String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor(), said);
            assertTrue(said.contains(each[1]), said);
        }
    }

    // ---- the stand-ins ----

    private void start(Searcher... searchers) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String[] entries = new String[searchers.length];
        for (int each = 0; each < entries.length; each++) {
            entries[each] = searchers[each].entry("ready");
        }
        discovery.revision = 4;
        String known = piece(true);
        discovery.revision = 5;
        discovery.first = piece(true, entries);
        String grade = "{\"name\":\"%s\",\"slo-ns\":" + goal + ",\"hard-limit-ns\":3e9,\"late-worth\":0,"
            + "\"effect\":\"%s\",\"dedup-window-ns\":" + window + "}";
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + known
            + ",\"settings\":{\"instances\":1,\"categories\":[" + String.format(grade, "idempotent", "retryable") + ','
            + String.format(grade, "deduplicated", "dedup") + ',' + String.format(grade, "unrepeatable", "fragile")
            + "],\"bounds\":{\"multiplex\":100,\"try-limit\":4,\"parallel-tries\":true,\"may-cancel\":true,\"probing\":"
            + "true,\"max-open\":1000,\"dial-timeout-ns\":" + dial + "},"
            + "\"family-info\":{\"cells\":2,\"reach\":1,\"slabs\":4,\"per-call\":4,"
            + "\"class-floor\":[" + floor + ",1,1],\"incomplete-worth\":[0.9,0,0]}}}");
        mixer = program(file).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        while (true) {
            try (Client client = new Client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
                if (client.answer().startsWith("200")) {
                    break;
                }
            } catch (IOException notYet) {
                assertTrue(mixer.isAlive(), "the mixer ended");
            }
            Thread.sleep(20);
        }
        until(new Client(), "list-pieces 2\n");
    }

    private ProcessBuilder program(Path config) {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "pinewick.Main", "serve");
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", config.toString());
        return builder;
    }

    /** Asks for the counters until they say this; the test's time limit ends a wait in vain. */
    private static void until(Client client, String line) throws Exception {
        while (!client.get("/counters").contains(line)) {
            Thread.sleep(10);
        }
    }

    private String piece(boolean whole, String... entries) {
        return "{\"revision\":" + discovery.revision + ",\"complete\":" + whole + ",\"members\":["
            + String.join(",", entries) + "]}";
    }

    private ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(server);
        return server;
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception over) {
                // The far end or the story is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers a watch with the list and then with whatever is told, on the newest watch. */
    private final class Discovery {
        final ServerSocket server = listen();
        final BlockingQueue<String> watches = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        volatile long revision;
        volatile String first = "";
        private volatile OutputStream watch;

        Discovery() throws IOException {
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            String request = head(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            if (request.contains("stream=1")) {
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                watch = out;
                if (!request.contains("index=" + revision + " ")) {
                    tell(first);
                }
                watches.add(request);
                int more = 0;
                while (more >= 0) {
                    more = socket.getInputStream().read();
                }
                ended.add("ended");
            } else {
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + first.length() + "\r\n\r\n" + first)
                    .getBytes(StandardCharsets.UTF_8));
            }
        }

        void tell(String line) throws IOException {
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
            watch.write((Integer.toHexString(bytes.length) + "\r\n" + line + "\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
            watch.flush();
        }
    }

    /** Speaks frames; what it does with a part is its way. */
    private final class Searcher {
        final String id;
        final int cell;
        final String way;
        final ServerSocket server;
        final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        final BlockingQueue<String> release = new LinkedBlockingQueue<>();

        Searcher(String id, int cell, String way) throws IOException {
            this.id = id;
            this.cell = cell;
            this.way = way;
            server = way.equals("late") ? new ServerSocket(0, 1, InetAddress.getLoopbackAddress()) : listen();
            open.add(server);
            thread(() -> {
                if (way.equals("late")) {
                    release.take();
                }
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    thread(() -> {
                        try {
                            serve(socket);
                        } finally {
                            ended.add("ended");
                        }
                    });
                }
            });
        }

        String entry(String phase) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"locality\":\"z\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"up_since_ms\":0}";
        }

        private void serve(Socket socket) throws Exception {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String text = new String(frame, StandardCharsets.UTF_8);
                if (text.charAt(0) == '4') {
                    write(socket, "4-");
                } else if (text.charAt(0) == '1') {
                    frames.add(text);
                    parts(socket, text.substring(1));
                }
            }
        }

        private void parts(Socket socket, String text) throws Exception {
            String[] lines = text.split("\n");
            for (int each = 0; each < lines.length; each++) {
                String left = each == 0 ? lines[0] : lines[each].substring("t\u00e9".length());
                if (left.isEmpty()) {
                    continue;
                }
                String part = left.split(" ")[0];
                switch (way) {
                    case "answer", "late" -> write(socket, "5" + part + " S 1 queue=0,qps=1.5\n" + id + "." + part);
                    case "reset" -> socket.close();
                    case "garbage" -> write(socket, "5nothing");
                    case "huge" -> socket.getOutputStream().write(new byte[] {0, 0, 0, 127, '5'});
                    case "letter" -> write(socket, "Z" + part + " S 1 -\nvalue");
                    case "end" -> write(socket, "5" + part + " Q 1 -\nvalue");
                    case "line" -> write(socket, "5" + part + " S 1 -");
                    case "empty" -> write(socket, "5" + part + " S 1 -\n");
                    case "control" -> write(socket, "5" + part + " S 1 -\n\u0001\u0002");
                    case "short" -> socket.getOutputStream().write(("\200\0\0\0005" + part + " S 1 -\nval").getBytes(
                        StandardCharsets.ISO_8859_1));
                    case "3GB" -> socket.getOutputStream().write(("\0\0\0\2605" + part + " S 1 -\nvalue").getBytes(
                        StandardCharsets.ISO_8859_1));
                    case "again" -> {
                        if (part.startsWith("second")) {
                            write(socket, "5first.0 S 1 -\nvalue");
                        }
                        write(socket, "5" + part + " S 1 -\nvalue");
                    }
                    case "twice", "report", "noise" -> {
                        write(socket, "5" + part + " S 1 " + (way.equals("report") ? "queue=%%%" : "queue=0") + "\nvalue");
                        if (way.equals("twice")) {
                            write(socket, "5" + part + " S 1 -\nvalue");
                        } else if (way.equals("noise")) {
                            socket.getOutputStream().write("noise".getBytes(StandardCharsets.UTF_8));
                        }
                    }
                    case "stranger" -> write(socket, "5" + part + "9 S 1 -\nvalue");
                    case "X" -> write(socket, "Xno such frame");
                    case "held" -> {
                        release.take();
                        write(socket, "5" + part + " S 1 -\nvalue");
                    }
                    default -> { }
                }
            }
        }

        private void write(Socket socket, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int each = 0; each < 4; each++) {
                all.write(bytes.length >> 8 * each);
            }
            all.writeBytes(bytes);
            socket.getOutputStream().write(all.toByteArray());
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int one = in.read();
            if (one < 0) {
                return head.toString();
            }
            head.append((char) one);
        }
        return head.toString();
    }

    /** A client with one connection. */
    private final class Client implements AutoCloseable {
        private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);

        Client() throws IOException {
            open.add(socket);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void post(String id, String kind, String shards, String more, boolean chunked) throws IOException {
            String[] each = shards.replaceAll("[\\[\\]]", "").split(",");
            StringBuilder body = new StringBuilder("{\"slices\":[");
            for (int at = 0; at < each.length; at++) {
                body.append(at == 0 ? "" : ",").append("{\"slice\":").append(each[at]).append(",\"mass\":")
                    .append(1.0 / each.length).append(",\"micros\":9000,\"term\":\"00\"}");
            }
            String text = body.append("],\"filter\":\"t\u00e9\"}").toString();
            int length = text.getBytes(StandardCharsets.UTF_8).length;
            send("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: 2.5"
                + "\r\n" + more + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length) + "\r\n" + text
                + "\r\n0\r\n\r\n" : "Content-Length: " + length + "\r\n\r\n" + text));
        }

        /** Status, blank, body; empty where the connection ended instead. */
        String answer() throws IOException {
            String head;
            try {
                head = head(socket.getInputStream());
            } catch (SocketException reset) {
                return "";
            }
            if (!head.contains("\r\n\r\n")) {
                return "";
            }
            int length = 0;
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase().startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            byte[] body = socket.getInputStream().readNBytes(length);
            return head.substring(9, 12) + " " + new String(body, StandardCharsets.UTF_8);
        }

        String get(String path) throws IOException {
            return get(path, "200");
        }

        String get(String path, String status) throws IOException {
            send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
            String answer = answer();
            assertTrue(answer.startsWith(status + " "), answer);
            return answer.substring(4);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
