package pinewick.replication;

/**
 * One atomic write to stable storage: the complete head, and an update of the stored configuration.
 *
 * @param head replaces the stored head
 * @param content the update of the stored configuration
 */
public record StableWrite(StoredHead head, Content content) {
    /** Update of the stored configuration. */
    public sealed interface Content {}

    /** Leaves the stored configuration as it is. */
    public record Unchanged() implements Content {}

    /** Appends one change to those after the snapshot. */
    public record Appended(StoredChange change) implements Content {}

    /** Replaces the snapshot and drops the changes after it. */
    public record Replaced(StoredSnapshot snapshot) implements Content {}
}
