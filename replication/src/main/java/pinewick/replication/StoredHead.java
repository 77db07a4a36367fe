package pinewick.replication;

/**
 * The small part of a store, written whole each time.
 *
 * @param identity of the store
 * @param promised the highest epoch number promised
 * @param accepted the newest epoch record accepted
 * @param stateVersion the state that snapshot and changes amount to
 */
public record StoredHead(String identity, EpochNumber promised, EpochRecord accepted, StateVersion stateVersion) {}
