package pinewick.replication;

/**
 * A change as it is stored.
 *
 * @param delta the difference, as {@code ConfigurationChecks.writeDelta} wrote it
 * @param key by what it is known again
 */
public record StoredChange(byte[] delta, ChangeKey key) {}
