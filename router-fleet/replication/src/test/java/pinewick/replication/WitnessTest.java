package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pinewick.model.ConfigurationDocument;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.Rejection;

/** Which messages a witness promises, accepts and rejects. */
class WitnessTest {
    private static final SocketAddress SELF = SocketAddress.parse("10.0.0.1:7721");
    private static final SocketAddress OTHER = SocketAddress.parse("10.0.0.2:7721");
    private static final SocketAddress THIRD = SocketAddress.parse("10.0.0.3:7721");
    private static final RequestId REQUEST = new RequestId(17, 1);
    private static final List<SocketAddress> SEEDS = List.of(SELF, OTHER, THIRD);

    private final List<Message> sent = new ArrayList<>();
    private final List<Runnable> writes = new ArrayList<>();
    private final SimulatedDisk disk = new SimulatedDisk();
    private final ReplicationNode node = new ReplicationNode(
            new ReplicationSettings(SELF, SELF, SEEDS, true, 1, 4_000, 3_000),
            new ManualStore(),
            (peer, message) -> sent.add(message),
            new Random(1),
            new ReplicationListener() {
                @Override
                public void onCommitted(ConfigurationDocument document) {}
            });

    /** A store whose operations complete when the test requires it. */
    private final class ManualStore implements StableStore {
        @Override
        public void load(Consumer<LoadedState> onLoaded, Consumer<StorageException> onFailed) {
            writes.add(() -> onLoaded.accept(disk.load()));
        }

        @Override
        public void persist(StableWrite write, Runnable onDone, Consumer<StorageException> onFailed) {
            writes.add(() -> {
                disk.apply(write);
                onDone.run();
            });
        }
    }

    private void start() {
        node.start(0);
        finishWrites();
        sent.clear();
    }

    private void finishWrites() {
        while (!writes.isEmpty()) {
            writes.remove(0).run();
        }
    }

    private <T extends Message> T lastSent(Class<T> type) {
        return assertInstanceOf(type, sent.get(sent.size() - 1));
    }

    private static EpochNumber number(long counter, SocketAddress proposer) {
        return new EpochNumber(counter, proposer.toString());
    }

    private static EpochRecord record(EpochNumber number) {
        EpochRecord founding = EpochRecord.founding(SEEDS);
        return new EpochRecord(number, number.proposer(), founding.inSync(), founding.members(), founding.members());
    }

    @Test
    void promisesOnceThePromiseIsDurable() {
        start();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 10);
        assertTrue(sent.isEmpty(), "no reply before the promise is durable");
        finishWrites();
        Promise promise = lastSent(Promise.class);
        assertEquals(number(5, OTHER), promise.number());
        assertEquals(EpochNumber.FOUNDING, promise.accepted().number());
        assertEquals(number(5, OTHER), disk.load().stored().orElseThrow().head().promised());
    }

    @Test
    void promisesTheSameNumberAgainToItsProposerOnly() {
        start();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 10);
        finishWrites();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 20);
        lastSent(Promise.class);
        node.onMessage(THIRD, new Prepare(REQUEST, number(5, THIRD), false), 30);
        finishWrites();
        assertEquals(number(5, OTHER), lastSent(Rejection.class).promised());
    }

    @Test
    void acceptsNothingBelowItsPromise() {
        start();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 10);
        finishWrites();
        node.onMessage(THIRD, new Accept(REQUEST, record(number(4, THIRD))), 20);
        finishWrites();
        lastSent(Rejection.class);
        node.onMessage(OTHER, new Accept(REQUEST, record(number(5, OTHER))), 30);
        finishWrites();
        assertEquals(number(5, OTHER), lastSent(Accepted.class).number());
    }

    @Test
    void learnsNothingBelowItsPromise() {
        start();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 10);
        finishWrites();
        node.onMessage(THIRD, new RecordChosen(record(number(4, THIRD))), 20);
        finishWrites();
        assertEquals(number(5, OTHER), disk.load().stored().orElseThrow().head().promised());
        assertEquals(
                EpochNumber.FOUNDING,
                disk.load().stored().orElseThrow().head().accepted().number());
    }

    @Test
    void promisesNoOtherProposerWhileItHasPrimaryContact() {
        start();
        node.onMessage(OTHER, new RecordChosen(record(number(1, OTHER))), 10);
        finishWrites();
        node.onMessage(OTHER, new Heartbeat(REQUEST, number(1, OTHER), StateVersion.NONE, OTHER), 20);
        assertEquals(REQUEST, lastSent(HeartbeatReply.class).request());
        node.onMessage(THIRD, new Prepare(REQUEST, number(2, THIRD), false), 30);
        finishWrites();
        lastSent(Rejection.class);
        node.onMessage(THIRD, new Prepare(REQUEST, number(2, THIRD), true), 40);
        finishWrites();
        lastSent(Promise.class);
    }

    @Test
    void storesThePromiseForARestart() {
        start();
        node.onMessage(OTHER, new Prepare(REQUEST, number(5, OTHER), false), 10);
        finishWrites();
        StoredState stored = disk.load().stored().orElseThrow();
        assertEquals(SELF.toString(), stored.head().identity());
        assertEquals(number(5, OTHER), stored.head().promised());
    }
}
