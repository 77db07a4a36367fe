package pinewick.registry;

import java.util.List;

/**
 * What a member of the registry answered, on a read or in a watch.
 *
 * @param cluster and {@code member}: ids of who answered; revision: how far that member was
 * @param entries of a read its page; of a watch its events, a null value for a removed key
 * @param more a read that stopped at its limit
 * @param count keys under the prefix, of a read
 * @param created the watch is open; cancelled: it ended; compacted: from which revision on changes are still known
 * @param fragment further pieces of the same news follow
 * @param fault words of the registry where it failed, else null
 */
public record RegistryResponse(
        String cluster,
        String member,
        long revision,
        List<KeyValue> entries,
        boolean more,
        long count,
        boolean created,
        boolean cancelled,
        long compacted,
        boolean fragment,
        String fault) {

    /** Whether the registry no longer knows the revision that was asked for. */
    public boolean tooOld() {
        return compacted > 0 || (fault != null && fault.contains("compacted"));
    }
}
