package pinewick.replication;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Gets a process from its start to where it may take part: reads the disk, founds where it is to, tries again. */
final class Startup {
    private static final double RETRY_MS = 500;

    private final Context context;
    private final StableStore store;
    private final Runnable onReady;
    private double retryAtMs = Double.POSITIVE_INFINITY;
    private boolean ready;

    /** @param onReady run once, when the process may take part */
    Startup(Context context, StableStore store, Runnable onReady) {
        this.context = context;
        this.store = store;
        this.onReady = onReady;
    }

    boolean ready() {
        return ready;
    }

    void begin() {
        retryAtMs = Double.POSITIVE_INFINITY;
        store.load(this::onLoaded, failure -> retryLater());
    }

    void onTick() {
        if (ready || context.activeMs() < retryAtMs) {
            return;
        }
        if (context.durable().identity().isEmpty()) {
            begin();
        } else {
            found();
        }
    }

    private void retryLater() {
        retryAtMs = context.activeMs() + RETRY_MS;
    }

    private void onLoaded(LoadedState loaded) {
        DurableState durable = context.durable();
        if (loaded.stored().isPresent() && restored(loaded.stored().get())) {
            finish();
        } else if (loaded.stored().isEmpty() && context.settings().isFounder() && !loaded.damaged()) {
            durable.begin(context.settings().address().toString());
            found();
        } else {
            durable.begin(randomIdentity(context.random()));
            finish();
        }
    }

    /** The identity of a store that is no founder's. */
    static String randomIdentity(RandomGenerator random) {
        long high = random.nextLong();
        long low = random.nextLong();
        return String.format("%016x%016x", high, low);
    }

    /** A store whose content makes no sense counts as empty. */
    private boolean restored(StoredState stored) {
        try {
            context.durable().restore(stored);
            return true;
        } catch (IllegalArgumentException e) {
            context.listener().noted("the stored configuration cannot be read: " + e.getMessage());
            return false;
        }
    }

    /** A founder takes part once the founding record is on its disk. */
    private void found() {
        retryAtMs = Double.POSITIVE_INFINITY;
        EpochRecord founding = EpochRecord.founding(context.settings().seeds());
        ConfigurationState empty = ConfigurationState.NONE.withTag(StateTag.FOUNDING);
        DurableState.Step step = new DurableState.Step(founding.number(), founding, empty, Optional.empty());
        context.durable().submit(() -> Optional.of(step), outcome -> {
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
