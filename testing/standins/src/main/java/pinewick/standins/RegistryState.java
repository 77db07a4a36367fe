package pinewick.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state of a fake registry: keys with all their versions, revisions, compaction, leases. Does no I/O. */
public final class RegistryState {
    /** A key at one revision; a null value denotes that the key was removed at that revision. */
    public record Version(String key, byte[] value, long revision, long lease) {}

    /** One page: its keys, whether more follow, and the total number of keys. */
    public record Page(List<Version> keys, boolean more, long count) {}

    /** The requested revision has been compacted. */
    public static final class Compacted extends Exception {
        public final long upTo;

        Compacted(long upTo) {
            super("etcdserver: mvcc: required revision has been compacted");
            this.upTo = upTo;
        }
    }

    private final TreeMap<String, List<Version>> keys = new TreeMap<>();
    private final List<Version> history = new ArrayList<>();
    private long revision = 1;
    private long compacted;

    public RegistryState() {}

    /** A copy of the current state, as a backup or a partitioned member has it. */
    public RegistryState copy() {
        RegistryState copy = new RegistryState();
        keys.forEach((key, versions) -> copy.keys.put(key, new ArrayList<>(versions)));
        copy.history.addAll(history);
        copy.revision = revision;
        copy.compacted = compacted;
        return copy;
    }

    public long revision() {
        return revision;
    }

    public long compactedUpTo() {
        return compacted;
    }

    public long put(String key, byte[] value, long lease) {
        revision++;
        write(new Version(key, value, revision, lease));
        return revision;
    }

    public long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Removes the keys in one revision; ignores keys that do not exist. */
    public long remove(List<String> removedKeys) {
        long next = revision + 1;
        for (String key : removedKeys) {
            if (latest(key, Long.MAX_VALUE) != null) {
                revision = next;
                write(new Version(key, null, next, 0));
            }
        }
        return revision;
    }

    /** Expires a lease: removes all its keys. */
    public long expire(long lease) {
        List<String> expiredKeys = new ArrayList<>();
        for (String key : keys.keySet()) {
            Version last = latest(key, Long.MAX_VALUE);
            if (last != null && last.lease() == lease) {
                expiredKeys.add(key);
            }
        }
        return remove(expiredKeys);
    }

    private void write(Version version) {
        keys.computeIfAbsent(version.key(), any -> new ArrayList<>()).add(version);
        history.add(version);
    }

    private Version latest(String key, long atRevision) {
        Version found = null;
        for (Version each : keys.getOrDefault(key, List.of())) {
            if (each.revision() <= atRevision) {
                found = each;
            }
        }
        return found == null || found.value() == null ? null : found;
    }

    /** Discards the changes before this revision; the newest state of each key stays. */
    public void compact(long upTo) {
        compacted = Math.max(compacted, Math.min(upTo, revision));
        history.removeIf(each -> each.revision() < compacted);
        for (List<Version> versions : keys.values()) {
            while (versions.size() > 1 && versions.get(1).revision() <= compacted) {
                versions.remove(0);
            }
        }
        keys.values()
                .removeIf(versions -> versions.size() == 1
                        && versions.get(0).value() == null
                        && versions.get(0).revision() <= compacted);
    }

    /** Keys from {@code from} (inclusive) to {@code end} (exclusive) as of a revision; 0 for the newest. */
    public Page range(String from, String end, long atRevision, int limit) throws Compacted {
        if (atRevision > 0 && atRevision < compacted) {
            throw new Compacted(compacted);
        }
        long effectiveRevision = atRevision == 0 ? revision : atRevision;
        List<Version> page = new ArrayList<>();
        long count = 0;
        for (Map.Entry<String, List<Version>> each :
                keys.subMap(from, true, end, false).entrySet()) {
            Version latest = latest(each.getKey(), effectiveRevision);
            if (latest != null) {
                count++;
                if (limit == 0 || page.size() < limit) {
                    page.add(latest);
                }
            }
        }
        return new Page(page, count > page.size(), count);
    }

    /** The most recently changed key of a range; null if the range has none. */
    public Version newest(String from, String end) {
        Version newest = null;
        for (String key : keys.subMap(from, true, end, false).keySet()) {
            Version latest = latest(key, Long.MAX_VALUE);
            if (latest != null && (newest == null || latest.revision() > newest.revision())) {
                newest = latest;
            }
        }
        return newest;
    }

    /** All changes in a range, starting at this revision. */
    public List<Version> changes(String from, String end, long fromRevision) throws Compacted {
        if (fromRevision < compacted) {
            throw new Compacted(compacted);
        }
        List<Version> found = new ArrayList<>();
        for (int index = history.size() - 1; index >= 0 && history.get(index).revision() >= fromRevision; index--) {
            Version each = history.get(index);
            if (each.key().compareTo(from) >= 0 && each.key().compareTo(end) < 0) {
                found.add(0, each);
            }
        }
        return found;
    }
}
