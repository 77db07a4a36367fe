package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Stage;

/** Many clients at once against replicas that misbehave by chance: what no client and no replica may ever see. */
class MisbehavingReplicasTest {
    private static final int CLIENTS = 12;
    private static final int REQUESTS_OF_A_CLIENT = 150;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

    private long seed;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noClientAndNoReplicaSeesARuleBroken(long chosenSeed) throws Exception {
        seed = chosenSeed;
        List<MisbehavingReplica> replicas = new ArrayList<>();
        try (TestRouter router = new TestRouter()) {
            router.configure(
                    TestRouter.route("once", "/once/", "non_idempotent", "plain", 3, "false"),
                    TestRouter.route("again", "/again/", "idempotent", "plain", 3, "false"),
                    TestRouter.route("cut", "/lm/cut/", "streaming", "lm", 3, "false"),
                    TestRouter.route("go", "/lm/go/", "streaming", "lm", 3, "true"));
            for (int i = 0; i < 10; i++) {
                MisbehavingReplica replica = new MisbehavingReplica(runs, seed * 100 + i);
                replicas.add(replica);
                router.state.merge(record(i, replica));
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> playClient(router, number));
                clients.add(client);
                client.start();
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            for (MisbehavingReplica replica : replicas) {
                replica.close();
            }
        }
        assertEquals(List.of(), List.copyOf(broken));
        runs.forEach((id, count) -> {
            assertTrue(!id.startsWith("handle of another"), id);
            assertTrue(id.contains("-again") || id.contains("-go") || count.get() <= 1, id + " ran " + count);
        });
        assertTrue(outcomes.get("served").get() > CLIENTS * REQUESTS_OF_A_CLIENT / 2, "outcomes " + outcomes);
    }

    private static ReplicaRecord record(int index, MisbehavingReplica replica) {
        Stage stage = index < 4 ? Stage.NONE : index < 6 ? Stage.PREFILL : Stage.DECODE;
        return new ReplicaRecord(
                "i-" + index,
                index < 4 ? "plain" : "lm",
                replica.address(),
                "zone",
                "v",
                12,
                ReplicaState.READY,
                0,
                stage,
                List.of(),
                1,
                false);
    }

    private void playClient(TestRouter router, int number) {
        SplittableRandom random = new SplittableRandom(seed * 31 + number);
        String[] kinds = {"once", "again", "cut", "go"};
        RawSocket socket = null;
        try {
            for (int i = 0; i < REQUESTS_OF_A_CLIENT; i++) {
                String kind = kinds[random.nextInt(kinds.length)];
                String id = "c" + number + "x" + i + "-" + kind;
                boolean stream = kind.equals("cut") || kind.equals("go");
                if (socket == null) {
                    socket = RawSocket.connect(router.frontend.frontendPort());
                }
                socket.send(TestRouter.request("POST", (stream ? "/lm/" : "/") + kind + "/x", id, "body of " + id));
                if (!judge(socket, id, stream)) {
                    socket.close();
                    socket = null;
                }
            }
        } catch (IOException | RuntimeException e) {
            broken.add("client " + number + ": " + e);
        }
    }

    /** Reads and judges an answer; returns whether the connection goes on. */
    private boolean judge(RawSocket socket, String id, boolean stream) throws IOException {
        HttpText.Message response;
        try {
            response = socket.read();
        } catch (EOFException e) {
            count("cut");
            if (!stream) {
                broken.add(id + ": closed without an answer");
            }
            return false;
        }
        if (!id.equals(response.field("X-Pinewick-Request-Id"))) {
            broken.add(id + ": answer of " + response.field("X-Pinewick-Request-Id"));
        }
        if (response.status() == 200) {
            count("served");
            judgeSuccess(id, stream, response);
        } else if (response.status() == 503) {
            count("refused");
            if (runs.containsKey(id)) {
                broken.add(id + ": refused though it ran");
            }
        } else {
            count("failed " + response.status());
        }
        return !"close".equals(response.field("Connection"));
    }

    private void judgeSuccess(String id, boolean stream, HttpText.Message response) {
        StringBuilder events = new StringBuilder();
        for (int number = 1; number <= MisbehavingReplica.EVENTS; number++) {
            events.append(MisbehavingReplica.eventOf(id, number));
        }
        String expected = stream ? events.toString() : MisbehavingReplica.bodyOf(id);
        if (!expected.equals(response.body())) {
            broken.add(id + ": body '" + response.body() + "'");
        }
        if (!("stamp-" + id).equals(response.field("X-Pinewick-Server-Signature"))) {
            broken.add(id + ": stamp " + response.field("X-Pinewick-Server-Signature"));
        }
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }
}
