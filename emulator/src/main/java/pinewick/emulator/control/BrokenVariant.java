package pinewick.emulator.control;

import java.util.function.Supplier;

/** Deliberate faults, each of which an invariant must catch. */
public enum BrokenVariant {
    /** As it is built. */
    NONE(Sabotage::new);

    private final Supplier<Sabotage> maker;

    BrokenVariant(Supplier<Sabotage> maker) {
        this.maker = maker;
    }

    Sabotage sabotage() {
        return maker.get();
    }
}
