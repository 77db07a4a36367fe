package pinewick.emulator.control;

/** Thrown when an invariant is violated. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Invariant invariant;

    InvariantViolation(Invariant invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    /** The violated invariant. */
    public Invariant invariant() {
        return invariant;
    }

    static void require(boolean condition, Invariant invariant, String detail) {
        if (!condition) {
            throw new InvariantViolation(invariant, detail);
        }
    }
}
