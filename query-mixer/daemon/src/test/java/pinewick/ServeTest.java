package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The complete program on sockets: responses and rejections. */
class ServeTest extends RouterProcessHarness {
    @Test
    void queryIsAnsweredWithTheValuesOfItsReplicas() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        FakeReplica b = new FakeReplica("b", 1, "answer");
        start(a, b);
        Client client = new Client();
        client.post("q1", "deduplicated", "[0,1]", "Idempotency-Key: k1\r\n", false);
        assertEquals(
                "200 {\"entire\":true,\"items\":[{\"slice\":0,\"body\":\"a.q1.0\"},"
                        + "{\"slice\":1,\"body\":\"b.q1.1\"}]}",
                client.readResponse());
        String frame = a.frames.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(frame.matches("1q1\\.0 0 d=\\d+,k=k1 3\nt\u00e9"), frame);
        client.post("q2", "idempotent", "[0]", "", true);
        assertTrue(client.readResponse().startsWith("200 "), "a chunked body on the same connection");
        String counters = client.get("/counters");
        assertTrue(
                counters.contains("taken 2\n")
                        && counters.contains("fulfilled-whole 2\n")
                        && counters.contains("launched 3\n")
                        && counters.contains("ended-fulfilled 3\n")
                        && counters.contains("awaiting 0\n")
                        && counters.contains("out 0\n"),
                counters);
    }

    @Test
    void partialResponseIsMarkedIncomplete() throws Exception {
        goalNs = "4e8";
        classFloor = "0.5";
        start(new FakeReplica("a", 0, "answer"), new FakeReplica("b", 1, "silent"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0,1]", "", false);
        assertEquals("200 {\"entire\":false,\"items\":[{\"slice\":0,\"body\":\"a.q1.0\"}]}", client.readResponse());
    }

    @Test
    void malformedRequestsAreRejectedWithoutAnyAttempt() throws Exception {
        FakeReplica a = new FakeReplica("a", 0, "answer");
        start(a);
        Client client = new Client();
        String good = "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"x\"}";
        String kind = "Req-Kind: idempotent\r\n";
        String time = "Req-Deadline: 2.0\r\n";
        String[][] bad = {
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":"},
            {"Req-Id: q\r\n" + kind + time, "[]"},
            {kind + time, good},
            {"Req-Id: q\r\n" + time, good},
            {"Req-Id: q\r\n" + kind, good},
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
            {
                "Req-Id: q\r\n" + kind + time,
                "{\"slices\":[{\"slice\":0,\"mass\":-1},{\"slice\":1,\"mass\":2}]," + "\"filter\":\"x\"}"
            },
            {"Req-Id: q\r\n" + kind + time, "{\"slices\":[{\"slice\":0,\"mass\":1}]}"}
        };
        for (String[] each : bad) {
            client.send("POST /api HTTP/1.1\r\nHost: h\r\n" + each[0] + "Content-Length: " + each[1].length()
                    + "\r\n\r\n" + each[1]);
            String response = client.readResponse();
            assertTrue(response.startsWith("400 "), each[0] + each[1] + " returned " + response);
        }
        assertTrue(client.get("/nowhere", "404").startsWith("path: no such"));
        client.send("GET /api HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(client.readResponse().startsWith("405 "));
        client.post("good", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("200 "), "the connection is still usable");
        client.send("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: q\r\n" + kind + time + "Content-Length: 70000\r\n\r\n");
        assertTrue(client.readResponse().startsWith("413 "));
        Client chunked = new Client();
        chunked.send("POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ("4000\r\n" + "x".repeat(0x4000) + "\r\n").repeat(5) + "0\r\n\r\n");
        assertEquals("413 ", chunked.readResponse());
        assertEquals("", chunked.readResponse(), "nothing more is read from the connection");
        String post = "POST /api HTTP/1.1\r\nHost: h\r\n";
        String hidden =
                post + "Req-Id: hidden\r\n" + kind + time + "Content-Length: " + good.length() + "\r\n\r\n" + good;
        for (String malformed : List.of(
                "NONSENSE\r\n\r\n",
                post + "Content-Length: -7\r\n\r\n",
                post + "Content-Length: 99999999999999999999\r\n\r\n",
                post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
                post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
                post + "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
                post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
                "GET / HTTP/1.1\r\nHost: h\r\nLong: " + "y".repeat(20000) + "\r\n\r\n")) {
            Client broken = new Client();
            broken.send(malformed);
            assertTrue(broken.readResponse().startsWith("400 "), malformed);
            assertEquals("", broken.readResponse(), malformed);
        }
        assertFalse(a.frames.stream().anyMatch(frame -> frame.contains("hidden")));
        String counters = new Client().get("/counters");
        assertTrue(counters.contains("bad-weight 5\n") && counters.contains("bad-framing "), counters);
        assertEquals(1, a.frames.size(), "only the valid query was sent to a replica");
    }

    @Test
    void aQueryThatNobodyServesIsEndedByTheDecisionsAndNotByTheNet() throws Exception {
        goalNs = "3e9";
        start(new FakeReplica("a", 0, "silent"));
        Client client = new Client();
        client.post("q1", "idempotent", "[0]", "", false);
        assertTrue(client.readResponse().startsWith("503 "), "the query may be repeated");
        String counters = client.get("/counters");
        assertTrue(counters.contains("declined 1\n") && !counters.contains("ended-by-the-net"), counters);
        client.post("q2", "idempotent", "[1]", "", false);
        assertTrue(client.readResponse().startsWith("503 "), "no replica serves that shard");
        await(client, "kept 0\n");
    }

    @Test
    void invalidConfigurationIsReported() throws Exception {
        for (String[] each : new String[][] {
            {"", "EDGE_CONFIG"},
            {"{", "EDGE_CONFIG"},
            {"{}", "EDGE_LISTEN"},
            {"{\"listen\":\"here\",\"discovery\":\"127.0.0.1:1\",\"settings\":{}}", "settings"}
        }) {
            Path file = folder.resolve("bad.json");
            Files.writeString(file, each[0]);
            ProcessBuilder builder = program(each[0].isEmpty() ? folder.resolve("none") : file);
            builder.redirectErrorStream(true);
            Process process = builder.start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor(), output);
            assertTrue(output.contains(each[1]), output);
        }
    }
}
