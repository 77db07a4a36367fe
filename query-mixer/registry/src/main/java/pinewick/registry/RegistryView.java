package pinewick.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.core.SchedulerHost;

/**
 * The searchers under one key prefix at one revision. No I/O. A rebuilt view takes effect only when it is complete, in
 * one step; until then the last complete one stays in force. Changes are applied in revision order: a change that is
 * not newer than the view has no effect, however often and in whatever order it arrives.
 */
public final class RegistryView {
    /**
     * A removal of more than this share of the keys in one update, and of at least {@link #MASS_REMOVAL_MIN}, is a mass
     * removal.
     */
    private static final double MASS_REMOVAL_SHARE = 0.5;

    private static final int MASS_REMOVAL_MIN = 3;

    private static final class Row {
        long modRevision;
        byte[] value;
        long lease;
        /** The last valid state; null if the value could never be parsed. */
        SearcherRecord searcher;
        /** Held in draining state after the registry was restored from a backup, until the key's next change. */
        boolean heldDraining;
    }

    private final String prefix;
    private Map<String, Row> rows = new LinkedHashMap<>();
    private long revision;
    private Map<String, Row> pending;
    private long pendingRevision;
    private List<String> pendingInvalidValues = new ArrayList<>();

    /** @param prefix of the keys; the rest of a key is the searcher's id */
    public RegistryView(String prefix) {
        if (prefix.isEmpty()) {
            throw new IllegalArgumentException("prefix: must not be empty");
        }
        this.prefix = prefix;
    }

    /** The revision up to which all changes are applied. */
    public long revision() {
        return revision;
    }

    /** Number of keys, including those with invalid values. */
    public int size() {
        return rows.size();
    }

    public Collection<SearcherRecord> searchers() {
        List<SearcherRecord> result = new ArrayList<>();
        rows.values().forEach(row -> {
            if (row.searcher != null) {
                result.add(row.searcher);
            }
        });
        return result;
    }

    /** All key-value pairs, for the on-disk snapshot. */
    public List<KeyValue> keyValues() {
        List<KeyValue> result = new ArrayList<>(rows.size());
        rows.forEach((key, row) -> result.add(new KeyValue(key, row.value, row.modRevision, row.lease)));
        return result;
    }

    /** Starts a rebuild and discards the pages of an incomplete one. */
    public void beginRebuild() {
        pending = new LinkedHashMap<>();
        pendingRevision = 0;
        pendingInvalidValues = new ArrayList<>();
    }

    /**
     * Adds a page to the rebuild. Throws IllegalStateException if its revision differs from that of the earlier pages,
     * since together they would not be a state that the registry ever had.
     */
    public void addPage(long pageRevision, List<KeyValue> keyValues) {
        if (pending == null || (pendingRevision != 0 && pendingRevision != pageRevision)) {
            throw new IllegalStateException("a page of revision " + pageRevision + " after one of " + pendingRevision);
        }
        pendingRevision = pageRevision;
        keyValues.forEach(each -> put(pending, each, rows.get(each.key()), pendingInvalidValues));
    }

    /** Adds a key whose value exceeds the size limit to the rebuild, with the last valid state if there is one. */
    public void keepLastGood(String key, long modRevision) {
        Row row = new Row();
        Row previousRow = rows.get(key);
        row.modRevision = modRevision;
        row.value = previousRow == null ? new byte[0] : previousRow.value;
        row.searcher = previousRow == null ? null : previousRow.searcher;
        pending.put(key, row);
        pendingInvalidValues.add(key + ": the value exceeds the size limit");
    }

    /**
     * Puts the rebuilt view into force. With {@code restored} the registry went back to an older state: a searcher that
     * was draining here, is ready there and was not restarted stays in draining state until its key changes. The older
     * state may predate the drain, and trusting it would break rule 3.
     */
    public ViewUpdate commit(boolean restored) {
        Map<String, Row> previous = rows;
        List<SearcherRecord> changed = new ArrayList<>();
        int removedCount = 0;
        for (Map.Entry<String, Row> each : previous.entrySet()) {
            if (each.getValue().searcher != null && !pending.containsKey(each.getKey())) {
                changed.add(each.getValue().searcher.withState(SchedulerHost.LifecycleState.GONE));
                removedCount++;
            }
        }
        for (Map.Entry<String, Row> each : pending.entrySet()) {
            Row row = each.getValue();
            Row previousRow = previous.get(each.getKey());
            boolean wasDraining = previousRow != null
                    && previousRow.searcher != null
                    && previousRow.searcher.state() == SchedulerHost.LifecycleState.DRAINING;
            if (row.searcher != null
                    && row.searcher.state() == SchedulerHost.LifecycleState.READY
                    && wasDraining
                    && row.searcher.startedAtSeconds() <= previousRow.searcher.startedAtSeconds()
                    && (restored || (previousRow.heldDraining && row.modRevision == previousRow.modRevision))) {
                row.heldDraining = true;
                row.searcher = row.searcher.withState(SchedulerHost.LifecycleState.DRAINING);
            }
            if (row.searcher != null && (previousRow == null || !row.searcher.equals(previousRow.searcher))) {
                changed.add(row.searcher);
            }
        }
        boolean massRemoval = isMassRemoval(removedCount, previous.size());
        rows = pending;
        pending = null;
        revision = pendingRevision;
        return new ViewUpdate(revision, true, changed, pendingInvalidValues, removedCount, massRemoval, List.of());
    }

    /** Applies watch events: complete revisions in increasing order. The update may be empty. */
    public ViewUpdate apply(List<KeyValue> events) {
        // Of several changes to one key the last one counts; a difference is reported once.
        Map<String, SearcherRecord> original = new HashMap<>();
        Map<String, SearcherRecord> removed = new LinkedHashMap<>();
        List<String> changedKeys = new ArrayList<>();
        List<String> invalidValues = new ArrayList<>();
        List<KeyValue> applied = new ArrayList<>();
        int keyCountBefore = rows.size();
        long newRevision = revision;
        for (KeyValue each : events) {
            if (each.modRevision() <= revision || !each.key().startsWith(prefix)) {
                continue;
            }
            Row row = rows.get(each.key());
            if (row != null && row.modRevision >= each.modRevision()) {
                continue;
            }
            applied.add(each);
            if (!original.containsKey(each.key())) {
                original.put(each.key(), row == null ? null : row.searcher);
                changedKeys.add(each.key());
            }
            if (each.value() == null) {
                if (row != null && row.searcher != null) {
                    removed.put(each.key(), row.searcher);
                }
                rows.remove(each.key());
            } else {
                put(rows, each, row, invalidValues);
            }
            newRevision = Math.max(newRevision, each.modRevision());
        }
        revision = newRevision;
        List<SearcherRecord> changed = new ArrayList<>();
        int removedCount = 0;
        for (String key : changedKeys) {
            Row row = rows.get(key);
            SearcherRecord current = row == null ? null : row.searcher;
            SearcherRecord previous = original.get(key);
            if (current == null && (previous != null || removed.containsKey(key))) {
                changed.add(
                        (previous != null ? previous : removed.get(key)).withState(SchedulerHost.LifecycleState.GONE));
                removedCount++;
            } else if (current != null && !current.equals(previous)) {
                changed.add(current);
            }
        }
        return new ViewUpdate(
                revision,
                false,
                changed,
                invalidValues,
                removedCount,
                isMassRemoval(removedCount, keyCountBefore),
                applied);
    }

    /** All changes up to this revision have been received. */
    public void advanceTo(long newRevision) {
        revision = Math.max(revision, newRevision);
    }

    private static boolean isMassRemoval(int removedCount, int total) {
        return removedCount >= MASS_REMOVAL_MIN && removedCount > MASS_REMOVAL_SHARE * total;
    }

    private void put(Map<String, Row> target, KeyValue keyValue, Row previousRow, List<String> invalidValues) {
        if (!keyValue.key().startsWith(prefix)) {
            return;
        }
        Row row = new Row();
        row.modRevision = keyValue.modRevision();
        row.value = keyValue.value();
        row.lease = keyValue.lease();
        if (previousRow != null
                && previousRow.modRevision == keyValue.modRevision()
                && Arrays.equals(previousRow.value, keyValue.value())) {
            row.searcher = previousRow.heldDraining
                    ? previousRow.searcher.withState(SchedulerHost.LifecycleState.READY)
                    : previousRow.searcher;
            target.put(keyValue.key(), row);
            return;
        }
        try {
            row.searcher = SearcherRecord.parse(keyValue.key().substring(prefix.length()), keyValue.value());
        } catch (IllegalArgumentException e) {
            // One invalid value must not remove its searcher or the entire view. The cost: an outdated address stays in
            // use.
            row.searcher = previousRow == null ? null : previousRow.searcher;
            invalidValues.add(keyValue.key() + ": " + e.getMessage());
        }
        target.put(keyValue.key(), row);
    }
}
