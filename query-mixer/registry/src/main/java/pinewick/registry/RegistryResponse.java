package pinewick.registry;

import java.util.List;

/**
 * A response of a registry member, to a range request or on a watch.
 *
 * @param clusterId the id of the responding member's cluster
 * @param memberId the id of the responding member
 * @param revision the member's current revision
 * @param keyValues the page of a range; the events of a watch, with a null value for a deleted key
 * @param more whether a range stopped at its limit
 * @param count number of keys in the range
 * @param created whether the watch is now open
 * @param cancelled whether the watch has ended
 * @param compactRevision the oldest revision from which changes are still known, 0 if not given
 * @param fragment whether further fragments of the same watch response follow
 * @param error the registry's error message, null on success
 */
public record RegistryResponse(
        String clusterId,
        String memberId,
        long revision,
        List<KeyValue> keyValues,
        boolean more,
        long count,
        boolean created,
        boolean cancelled,
        long compactRevision,
        boolean fragment,
        String error) {

    /** Whether the requested revision has been compacted away. */
    public boolean isCompacted() {
        return compactRevision > 0 || (error != null && error.contains("compacted"));
    }
}
