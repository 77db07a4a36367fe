package pinewick.replication;

/**
 * One durable write: the head as a whole, and what it changes of the configuration.
 *
 * @param head replaces the head that was there
 * @param content what becomes of the configuration
 */
public record StableWrite(StoredHead head, Content content) {
    /** What a write does to the stored configuration. */
    public sealed interface Content {}

    /** Nothing. */
    public record Unchanged() implements Content {}

    /** Adds one change to those after the snapshot. */
    public record Appended(StoredChange change) implements Content {}

    /** Replaces the snapshot and drops the changes after it. */
    public record Replaced(StoredSnapshot snapshot) implements Content {}
}
