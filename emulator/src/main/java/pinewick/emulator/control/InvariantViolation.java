package pinewick.emulator.control;

/** Something that must hold does not. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Invariant invariant;

    InvariantViolation(Invariant invariant, String what) {
        super(invariant + ": " + what);
        this.invariant = invariant;
    }

    /** Which invariant is broken. */
    public Invariant invariant() {
        return invariant;
    }

    static void require(boolean holds, Invariant invariant, String what) {
        if (!holds) {
            throw new InvariantViolation(invariant, what);
        }
    }
}
