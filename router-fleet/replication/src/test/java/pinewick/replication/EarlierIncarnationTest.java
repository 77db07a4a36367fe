package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.PrimaryHint;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Status;

/** Replies to requests of an earlier incarnation reach the restarted process, which ignores them. */
class EarlierIncarnationTest {
    private static final SocketAddress SELF = SocketAddress.parse("10.0.0.1:7721");
    private static final SocketAddress OTHER = SocketAddress.parse("10.0.0.2:7721");
    private static final SocketAddress THIRD = SocketAddress.parse("10.0.0.3:7721");
    private static final List<SocketAddress> SEEDS = List.of(SELF, OTHER, THIRD);
    private static final EpochRecord FOUNDING = EpochRecord.founding(SEEDS);
    private static final double TICK_MS = 50;
    private static final double LONG_MS = 3_000;

    private final SimulatedDisk disk = new SimulatedDisk();

    /** One incarnation of the process: the messages it sent, and writes that complete when the test requires it. */
    private final class Incarnation implements StableStore {
        final List<Message> sent = new ArrayList<>();
        final List<Runnable> writes = new ArrayList<>();
        final ReplicationNode node;
        double nowMs;

        Incarnation(long seed) {
            node = new ReplicationNode(
                    new ReplicationSettings(SELF, SELF, SEEDS, true, 1, 4_000, 3_000),
                    this,
                    (peer, message) -> sent.add(message),
                    new Random(seed),
                    new ReplicationListener() {
                        @Override
                        public void onCommitted(ConfigurationDocument document) {}
                    });
            node.start(nowMs);
            finishWrites();
        }

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

        void finishWrites() {
            while (!writes.isEmpty()) {
                writes.remove(0).run();
            }
        }

        void tick() {
            nowMs += TICK_MS;
            node.onTick(nowMs);
        }

        void deliver(Message message) {
            node.onMessage(OTHER, message, nowMs);
        }

        <T extends Message> List<T> sent(Class<T> type) {
            return sent.stream().filter(type::isInstance).map(type::cast).toList();
        }

        <T extends Message> T lastSent(Class<T> type) {
            List<T> all = sent(type);
            return all.get(all.size() - 1);
        }

        /** Ticks, with a reply of the other process to each status request, until this process starts a proposal. */
        Prepare becomeCandidate() {
            while (sent(Prepare.class).isEmpty()) {
                tick();
                sent(Status.class).stream()
                        .filter(Status::replyRequested)
                        .forEach(incoming -> deliver(replyTo(incoming)));
            }
            return lastSent(Prepare.class);
        }
    }

    private static Status replyTo(Status incoming) {
        return new Status(
                incoming.request(),
                new Member(OTHER.toString(), OTHER),
                EpochNumber.FOUNDING,
                FOUNDING,
                StateVersion.FOUNDING,
                false,
                false,
                PrimaryHint.NONE,
                false);
    }

    private static Promise replyTo(Prepare incoming) {
        return new Promise(
                incoming.request(),
                incoming.number(),
                new Member(OTHER.toString(), OTHER),
                FOUNDING,
                StateVersion.FOUNDING,
                false);
    }

    @Test
    void ignoresALateStatusInAnElection() {
        Incarnation first = new Incarnation(1);
        first.tick();
        Status lateReply = replyTo(first.lastSent(Status.class));
        Incarnation second = new Incarnation(2);
        for (double waitedMs = 0; waitedMs < LONG_MS; waitedMs += TICK_MS) {
            second.tick();
            second.deliver(lateReply);
        }
        assertTrue(second.sent(Prepare.class).isEmpty(), "no reply to this incarnation");
        second.becomeCandidate();
    }

    /** The first incarnation ends before its own promise is durable, so the second one prepares the same number. */
    @Test
    void ignoresALatePromiseForAnEpoch() {
        Incarnation first = new Incarnation(1);
        Promise lateReply = replyTo(first.becomeCandidate());
        Incarnation second = new Incarnation(2);
        Prepare prepare = second.becomeCandidate();
        assertEquals(lateReply.number(), prepare.number());
        second.finishWrites();
        second.deliver(lateReply);
        second.tick();
        second.tick();
        second.tick();
        assertTrue(second.sent(Accept.class).isEmpty(), "the promise is a reply to an earlier request");
        second.deliver(replyTo(prepare));
        second.tick();
        assertEquals(1, second.sent(Accept.class).stream().distinct().count());
    }
}
