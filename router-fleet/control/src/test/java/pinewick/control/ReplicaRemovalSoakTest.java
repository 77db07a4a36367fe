package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import pinewick.model.ReplicaState;

/**
 * A random series of drains, deregistrations, late heartbeats, kills of one or of all controllers and lost disks, with
 * real sockets and disks. No acknowledged removal is ever reverted. {@code -Dsoak.seeds=N} runs more seeds.
 */
@Timeout(180)
class ReplicaRemovalSoakTest {
    private static final int DEFAULT_SEEDS = 8;
    private static final int STEPS = 14;
    private static final int MAX_ATTEMPTS = 60;
    private static final String HEARTBEAT = "{\"service\":\"s-%d\",\"address\":\"10.128.0.%d:8080\",\"zone\":\"z\","
            + "\"version\":\"v1\",\"slots\":12,\"state\":\"%s\",\"cold_remaining_ms\":0,\"call_sequence\":%d}";

    @TempDir
    private Path directory;

    private ControllerCluster cluster;
    private SplittableRandom random;
    private int replicas;
    private final Map<Integer, Integer> callSequences = new TreeMap<>();
    private final Map<Integer, ReplicaState> acknowledged = new TreeMap<>();

    static LongStream seeds() {
        return LongStream.range(0, Long.getLong("soak.seeds", DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noAcknowledgedRemovalIsReverted(long seed) throws IOException, ControllerException {
        random = new SplittableRandom(seed);
        cluster = new ControllerCluster(directory.resolve("seed-" + seed));
        try {
            cluster.startAll(true);
            cluster.awaitAllPeers();
            for (int step = 0; step < STEPS; step++) {
                runStep();
            }
            restartAll();
            sendLateHeartbeats();
            for (int machine = 1; machine <= ControllerCluster.COUNT; machine++) {
                cluster.awaitStatus(machine, status -> acknowledged.entrySet().stream()
                        .allMatch(removal -> hasRecord(status, removal.getKey(), removal.getValue())));
            }
        } finally {
            cluster.killAll();
        }
    }

    private void runStep() throws IOException, ControllerException {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> remove(register(), ReplicaState.GONE);
            case 3 -> remove(register(), ReplicaState.DRAINING);
            case 4 -> {
                int replica = register();
                remove(replica, ReplicaState.DRAINING);
                remove(replica, ReplicaState.GONE);
            }
            case 5 -> restartOne();
            case 6 -> restartAll();
            default -> sendLateHeartbeats();
        }
    }

    private int anyMachine() {
        return 1 + random.nextInt(ControllerCluster.COUNT);
    }

    private int register() throws IOException {
        replicas++;
        callSequences.put(replicas, 1);
        sendUntilAcknowledged(replicas, ReplicaState.READY);
        return replicas;
    }

    /** Announces a removal and, in most cases, kills all controllers right after the acknowledgement. */
    private void remove(int replica, ReplicaState removal) throws IOException, ControllerException {
        callSequences.merge(replica, 1, Integer::sum);
        sendUntilAcknowledged(replica, removal);
        acknowledged.put(replica, removal);
        if (random.nextInt(3) > 0) {
            restartAll();
            sendLateHeartbeats();
        }
    }

    private void sendUntilAcknowledged(int replica, ReplicaState state) throws IOException {
        int status = 0;
        int machine = anyMachine();
        for (int attempt = 0; attempt < MAX_ATTEMPTS && status != 200; attempt++) {
            status = send(machine, replica, state, callSequences.get(replica));
            machine = machine % ControllerCluster.COUNT + 1;
        }
        assertEquals(200, status, "replica " + replica + " as " + state);
    }

    private int send(int machine, int replica, ReplicaState state, int callSequence) throws IOException {
        boolean isDeregistration = state == ReplicaState.GONE;
        String path = "/instances/i-" + replica + (isDeregistration ? "/deregister" : "/heartbeat");
        String wireState = state == ReplicaState.READY ? "ready" : "draining";
        String body = isDeregistration ? "" : HEARTBEAT.formatted(replica, replica, wireState, callSequence);
        try {
            return RawHttpClient.request(cluster.network.api(machine), "POST", path, body)
                    .status();
        } catch (ConnectException e) {
            return 0;
        }
    }

    /** A heartbeat that each removed replica sent before its removal arrives at some controller. */
    private void sendLateHeartbeats() throws IOException {
        for (int replica : acknowledged.keySet()) {
            int status = 0;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && status == 0; attempt++) {
                status = sendLate(replica);
            }
        }
    }

    private int sendLate(int replica) throws IOException {
        try {
            return send(anyMachine(), replica, ReplicaState.READY, 1);
        } catch (SocketException e) {
            return 0;
        }
    }

    /** Kills a controller, in some cases with its disk; the others go on meanwhile. */
    private void restartOne() throws IOException, ControllerException {
        int machine = anyMachine();
        cluster.kill(machine);
        boolean isDiskLost = random.nextBoolean();
        if (isDiskLost) {
            cluster.loseDisk(machine);
        }
        cluster.start(machine, false);
        cluster.awaitAllPeers();
        if (isDiskLost) {
            awaitRemovals(machine);
        }
    }

    /** Kills all controllers, in some cases with one disk; the loss is repaired before the next one. */
    private void restartAll() throws IOException, ControllerException {
        cluster.killAll();
        int lost = anyMachine();
        boolean isDiskLost = random.nextInt(3) == 0;
        if (isDiskLost) {
            cluster.loseDisk(lost);
        }
        cluster.startAll(false);
        cluster.awaitAllPeers();
        if (isDiskLost) {
            awaitRemovals(lost);
        }
    }

    /** Waits until a controller has every acknowledged removal, in this or a later state. */
    private void awaitRemovals(int machine) throws IOException {
        cluster.awaitStatus(machine, status -> acknowledged.entrySet().stream()
                .allMatch(removal -> hasRemoval(status, removal.getKey(), removal.getValue())));
    }

    /** A controller that knows nothing else about a deregistered replica has a tombstone without a service. */
    private static boolean hasRemoval(JsonObject status, int replica, ReplicaState removal) {
        boolean hasTombstone = removal == ReplicaState.GONE && count(status, "", "gone") > 0;
        return hasRecord(status, replica, removal) || (hasTombstone && count(status, "s-" + replica, "ready") == 0);
    }

    private static boolean hasRecord(JsonObject status, int replica, ReplicaState removal) {
        return count(status, "s-" + replica, removal == ReplicaState.GONE ? "gone" : "draining") == 1;
    }

    private static long count(JsonObject status, String service, String state) {
        JsonObject services = status.getAsJsonObject("replicas");
        return services.has(service)
                ? services.getAsJsonObject(service).get(state).getAsLong()
                : 0;
    }
}
