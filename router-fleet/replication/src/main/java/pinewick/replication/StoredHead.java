package pinewick.replication;

/**
 * The part of a store that every write replaces completely.
 *
 * @param identity identity of the store
 * @param promised the highest promised epoch number
 * @param accepted the newest accepted epoch record
 * @param stateVersion version of the state that results from the stored snapshot and the changes after it
 */
public record StoredHead(String identity, EpochNumber promised, EpochRecord accepted, StateVersion stateVersion) {}
