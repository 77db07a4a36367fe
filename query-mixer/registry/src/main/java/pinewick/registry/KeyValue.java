package pinewick.registry;

/** A key-value pair as stored in the registry; in a watch event a null value means that the key was deleted. */
public record KeyValue(String key, byte[] value, long modRevision, long lease) {}
