package pinewick.replication;

/** A disk did not do what was asked of it. */
public final class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong with the disk. */
    public enum Kind {
        /** There is no room; it may come back. */
        FULL,
        /** Reading or writing failed. */
        FAILED
    }

    private final Kind kind;
    private final String step;

    /**
     * @param kind what is wrong
     * @param step what was being done
     * @param cause what the disk said
     */
    public StorageException(Kind kind, String step, Throwable cause) {
        super(step + ": " + kind, cause);
        this.kind = kind;
        this.step = step;
    }

    public Kind kind() {
        return kind;
    }

    /** What was being done when it arose. */
    public String step() {
        return step;
    }
}
