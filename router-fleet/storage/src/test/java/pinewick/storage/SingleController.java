package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import pinewick.model.ConfigurationDocument;
import pinewick.model.SocketAddress;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;
import pinewick.replication.ReadOutcome;
import pinewick.replication.ReplicationListener;
import pinewick.replication.ReplicationNode;
import pinewick.replication.ReplicationSettings;

/** A primary that is the only controller, with a real store. Its control loop runs on the test thread. */
final class SingleController implements AutoCloseable {
    private static final SocketAddress ADDRESS = SocketAddress.parse("10.0.0.1:7721");
    private static final long WAIT_SECONDS = 30;
    private static final double TICK_MS = 1;
    private static final double MAX_START_MS = 20_000;

    private final BlockingQueue<Runnable> completions = new LinkedBlockingQueue<>();
    private final XodusStore store;
    private final ReplicationNode node;

    /** Starts with the stored state of the directory; returns once this controller is the primary. */
    SingleController(Path directory) throws InterruptedException {
        store = new XodusStore(directory, completions::add);
        ReplicationSettings settings =
                new ReplicationSettings(ADDRESS, ADDRESS, List.of(ADDRESS), true, 0, 4_000, 3_000);
        node = new ReplicationNode(settings, store, (peer, message) -> {}, new Random(1), new ReplicationListener() {
            @Override
            public void onCommitted(ConfigurationDocument document) {}
        });
        node.start(0);
        awaitPrimaryRole();
    }

    private void awaitPrimaryRole() throws InterruptedException {
        double nowMs = 0;
        while (read().isEmpty()) {
            nowMs += TICK_MS;
            node.onTick(nowMs);
            Runnable completion = completions.poll(1, TimeUnit.MILLISECONDS);
            if (completion != null) {
                completion.run();
            }
            assertTrue(nowMs < MAX_START_MS, "the controller did not become primary in time");
        }
    }

    /** The current configuration; empty while this controller is not the primary. */
    Optional<ConfigurationDocument> read() {
        AtomicReference<ReadOutcome> outcome = new AtomicReference<>();
        node.read(outcome::set);
        return outcome.get() instanceof ReadOutcome.Current current
                ? Optional.of(current.document())
                : Optional.empty();
    }

    /** Submits a change and waits for its outcome. */
    ChangeOutcome submit(ConfigurationChange change) throws InterruptedException {
        AtomicReference<ChangeOutcome> outcome = new AtomicReference<>();
        node.submit(change, outcome::set);
        while (outcome.get() == null) {
            Runnable completion = completions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(completion != null, "the store ran no callback in time");
            completion.run();
        }
        return outcome.get();
    }

    /** Submits a change that must be accepted; returns the resulting version. */
    long accept(ConfigurationChange change) throws InterruptedException {
        return assertInstanceOf(ChangeOutcome.Accepted.class, submit(change)).version();
    }

    @Override
    public void close() throws InterruptedException {
        store.close();
        assertTrue(store.awaitClosed(TimeUnit.SECONDS.toMillis(WAIT_SECONDS)), "the store did not close in time");
    }
}
