package pinewick.replication;

/**
 * A complete configuration state as it is stored.
 *
 * @param document the document, encoded as a delta from the empty one
 * @param changes the keys of the recently accepted changes, encoded by {@link AcceptedChanges#toBytes}
 */
public record StoredSnapshot(byte[] document, byte[] changes) {}
