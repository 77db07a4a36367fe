package pinewick.replication;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The recently accepted changes, oldest first, by base version and digest, so that a change that an operator submits
 * again gets the same answer as the first time. Immutable.
 */
final class AcceptedChanges {
    /** The oldest changes are evicted beyond this number. */
    static final int CAPACITY = 3_000;

    static final AcceptedChanges NONE = new AcceptedChanges(Map.of());

    private static final int DIGEST_BYTES = 32;
    private static final int ENTRY_BYTES = 2 * Long.BYTES + DIGEST_BYTES;

    private record Identity(long baseVersion, String digest) {}

    private final Map<Identity, Long> versions;

    private AcceptedChanges(Map<Identity, Long> versions) {
        this.versions = versions;
    }

    /** The configuration version that a change led to, empty if it is not among the recently accepted ones. */
    OptionalLong versionOf(long baseVersion, String digest) {
        Long version = versions.get(new Identity(baseVersion, digest));
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /**
     * Whether a change that is based on this version may have been accepted and evicted since. Each accepted change is
     * based on a higher version than the one before, so only changes with a lower base version than the oldest entry
     * may have been.
     */
    boolean mayHaveEvicted(long baseVersion) {
        return versions.size() >= CAPACITY
                && baseVersion < versions.keySet().iterator().next().baseVersion;
    }

    AcceptedChanges with(ChangeKey key) {
        Map<Identity, Long> extended = new LinkedHashMap<>(versions);
        extended.put(new Identity(key.baseVersion(), key.digest()), key.version());
        Iterator<Identity> oldest = extended.keySet().iterator();
        while (extended.size() > CAPACITY) {
            oldest.next();
            oldest.remove();
        }
        return new AcceptedChanges(extended);
    }

    byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(versions.size() * ENTRY_BYTES);
        versions.forEach((change, version) -> buffer.putLong(change.baseVersion())
                .putLong(version)
                .put(HexFormat.of().parseHex(change.digest())));
        return buffer.array();
    }

    static AcceptedChanges fromBytes(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Map<Identity, Long> versions = new LinkedHashMap<>();
        byte[] digest = new byte[DIGEST_BYTES];
        while (buffer.remaining() >= ENTRY_BYTES) {
            long baseVersion = buffer.getLong();
            long version = buffer.getLong();
            buffer.get(digest);
            versions.put(new Identity(baseVersion, HexFormat.of().formatHex(digest)), version);
        }
        return new AcceptedChanges(versions);
    }
}
