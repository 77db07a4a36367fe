package pinewick.replication;

/**
 * A whole configuration as it is stored.
 *
 * @param document the document as a delta from the empty one
 * @param changes the keys of the changes accepted lately
 */
public record StoredSnapshot(byte[] document, byte[] changes) {}
