package pinewick.replication;

/**
 * A change as it is stored.
 *
 * @param delta the difference between the two documents, as encoded by {@code ConfigurationChecks.writeDelta}
 * @param key identifies the change when an operator submits it again
 */
public record StoredChange(byte[] delta, ChangeKey key) {}
