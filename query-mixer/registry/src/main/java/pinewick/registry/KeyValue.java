package pinewick.registry;

/** A key with its value as it stands in the registry; a null value in an event says that the key was removed. */
public record KeyValue(String key, byte[] value, long modRevision, long lease) {}
