package pinewick.replication;

/**
 * Reading from or writing to the disk failed. The store retries by itself. {@link Kind#FULL} ends once there is space
 * again. After {@link Kind#FAILED} an operator should check the disk; meanwhile the process steps down as primary and
 * keeps retrying.
 */
public final class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Kind of the failure. */
    public enum Kind {
        /** No space is left on the disk. */
        FULL,
        /** Reading or writing failed. */
        FAILED
    }

    private final Kind kind;
    private final String step;

    /**
     * @param kind kind of the failure
     * @param step the operation that failed
     * @param cause the underlying error of the file system or database
     */
    public StorageException(Kind kind, String step, Throwable cause) {
        super(step + ": " + kind, cause);
        this.kind = kind;
        this.step = step;
    }

    public Kind kind() {
        return kind;
    }

    /** The operation that failed. */
    public String step() {
        return step;
    }
}
