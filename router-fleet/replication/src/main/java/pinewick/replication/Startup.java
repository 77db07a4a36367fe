package pinewick.replication;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Startup of a process until it may take part in quorums: reads the disk, writes the founding record if this process is
 * a founder and its disk is empty, and retries while the disk fails. Control loop only.
 */
final class Startup {
    private static final double RETRY_INTERVAL_MS = 500;

    private final ReplicationContext context;
    private final StableStore store;
    private final Runnable onReady;
    private double retryAtMs = Double.POSITIVE_INFINITY;
    private boolean ready;

    /** @param onReady run once, when the process may take part in quorums */
    Startup(ReplicationContext context, StableStore store, Runnable onReady) {
        this.context = context;
        this.store = store;
        this.onReady = onReady;
    }

    boolean isReady() {
        return ready;
    }

    void load() {
        retryAtMs = Double.POSITIVE_INFINITY;
        store.load(this::onLoaded, failure -> retryLater());
    }

    void onTick() {
        if (ready || context.activeMs() < retryAtMs) {
            return;
        }
        if (context.durable().identity().isEmpty()) {
            load();
        } else {
            writeFoundingRecord();
        }
    }

    private void retryLater() {
        retryAtMs = context.activeMs() + RETRY_INTERVAL_MS;
    }

    private void onLoaded(LoadedState loaded) {
        DurableState durable = context.durable();
        if (loaded.stored().isPresent() && restore(loaded.stored().get())) {
            finish();
        } else if (loaded.stored().isEmpty() && context.settings().isFounder() && !loaded.damaged()) {
            durable.initialize(context.settings().address().toString());
            writeFoundingRecord();
        } else {
            durable.initialize(randomIdentity(context.random()));
            finish();
        }
    }

    /** A random identity, for every store except that of a founder. */
    static String randomIdentity(RandomGenerator random) {
        long high = random.nextLong();
        long low = random.nextLong();
        return String.format("%016x%016x", high, low);
    }

    /** Restores what the disk holds; returns false if it is inconsistent, in which case the store counts as empty. */
    private boolean restore(StoredState stored) {
        try {
            context.durable().restore(stored);
            return true;
        } catch (IllegalArgumentException e) {
            context.listener()
                    .onEvent("stored configuration cannot be read, starting with an empty store: " + e.getMessage());
            return false;
        }
    }

    /** Writes the founding record. A founder takes part in quorums only once it is on disk. */
    private void writeFoundingRecord() {
        retryAtMs = Double.POSITIVE_INFINITY;
        EpochRecord founding = EpochRecord.founding(context.settings().seeds());
        ConfigurationState empty = ConfigurationState.NONE.withVersion(StateVersion.FOUNDING);
        DurableState.Update update = new DurableState.Update(founding.number(), founding, empty, Optional.empty());
        context.durable().submit(() -> Optional.of(update), outcome -> {
            if (outcome == DurableState.Outcome.WRITTEN) {
                finish();
            } else {
                retryLater();
            }
        });
    }

    private void finish() {
        ready = true;
        onReady.run();
    }
}
