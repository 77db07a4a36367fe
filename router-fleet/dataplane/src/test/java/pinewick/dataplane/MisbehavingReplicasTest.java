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

/** Many concurrent clients and replicas that misbehave at random: invariants that must hold for each of them. */
class MisbehavingReplicasTest {
    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CLIENT = 150;

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

    private long seed;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsInvariantsForAllClientsAndReplicas(long seedOfRun) throws Exception {
        seed = seedOfRun;
        List<MisbehavingReplica> replicas = new ArrayList<>();
        try (TestRouter router = new TestRouter()) {
            router.configure(
                    TestRouter.route("once", "/once/", "non_idempotent", "plain", 3, "false"),
                    TestRouter.route("retry", "/retry/", "idempotent", "plain", 3, "false"),
                    TestRouter.route("stream", "/lm/stream/", "streaming", "lm", 3, "false"),
                    TestRouter.route("resume", "/lm/resume/", "streaming", "lm", 3, "true"));
            for (int i = 0; i < 10; i++) {
                MisbehavingReplica replica = new MisbehavingReplica(executions, seed * 100 + i);
                replicas.add(replica);
                router.state.merge(record(i, replica));
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> runClient(router, number));
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
        assertEquals(List.of(), List.copyOf(violations));
        executions.forEach((id, count) -> {
            assertTrue(!id.startsWith("handle of another request"), id);
            assertTrue(
                    id.contains("-retry") || id.contains("-resume") || count.get() <= 1, id + " executions: " + count);
        });
        assertTrue(outcomes.get("served").get() > CLIENTS * REQUESTS_PER_CLIENT / 2, "outcomes " + outcomes);
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

    private void runClient(TestRouter router, int number) {
        SplittableRandom random = new SplittableRandom(seed * 31 + number);
        String[] kinds = {"once", "retry", "stream", "resume"};
        RawSocket socket = null;
        try {
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                String kind = kinds[random.nextInt(kinds.length)];
                String id = "c" + number + "x" + i + "-" + kind;
                boolean stream = kind.equals("stream") || kind.equals("resume");
                if (socket == null) {
                    socket = RawSocket.connect(router.frontend.frontendPort());
                }
                socket.send(TestRouter.request("POST", (stream ? "/lm/" : "/") + kind + "/x", id, "body of " + id));
                if (!checkResponse(socket, id, stream)) {
                    socket.close();
                    socket = null;
                }
            }
        } catch (IOException | RuntimeException e) {
            violations.add("client " + number + ": " + e);
        }
    }

    /** Reads and checks a response; returns whether the connection stays open. */
    private boolean checkResponse(RawSocket socket, String id, boolean stream) throws IOException {
        HttpText.Message response;
        try {
            response = socket.read();
        } catch (EOFException e) {
            count("truncated");
            if (!stream) {
                violations.add(id + ": closed without a response");
            }
            return false;
        }
        if (!id.equals(response.field("X-Pinewick-Request-Id"))) {
            violations.add(id + ": response to " + response.field("X-Pinewick-Request-Id"));
        }
        if (response.status() == 200) {
            count("served");
            checkSuccess(id, stream, response);
        } else if (response.status() == 503) {
            count("rejected");
            if (executions.containsKey(id)) {
                violations.add(id + ": rejected though it was executed");
            }
        } else {
            count("failed " + response.status());
        }
        return !"close".equals(response.field("Connection"));
    }

    private void checkSuccess(String id, boolean stream, HttpText.Message response) {
        StringBuilder events = new StringBuilder();
        for (int number = 1; number <= MisbehavingReplica.EVENTS; number++) {
            events.append(MisbehavingReplica.eventOf(id, number));
        }
        String expected = stream ? events.toString() : MisbehavingReplica.bodyOf(id);
        if (!expected.equals(response.body())) {
            violations.add(id + ": body '" + response.body() + "'");
        }
        if (!("signature-" + id).equals(response.field("X-Pinewick-Server-Signature"))) {
            violations.add(id + ": signature " + response.field("X-Pinewick-Server-Signature"));
        }
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }
}
