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
 * The searchers under one prefix at one revision. No I/O. A view that is read anew goes into force only when whole, in
 * one step; until then the last whole one holds. News is taken in the order of revisions: what is not newer than the
 * view changes nothing, however often and in whatever order it comes.
 */
public final class RegistryView {
    /** More than this share gone in one step, and at least {@link #MASS_LEAST} of them, is a loss in mass. */
    private static final double MASS_SHARE = 0.5;

    private static final int MASS_LEAST = 3;

    private static final class Row {
        long modRevision;
        byte[] value;
        long lease;
        /** The last good state; null where the value never could be read. */
        SearcherRecord store;
        /** Held draining after the registry was restored from an old copy; ends with the key's next change. */
        boolean distrusted;
    }

    private final String prefix;
    private Map<String, Row> rows = new LinkedHashMap<>();
    private long revision;
    private Map<String, Row> next;
    private long nextRevision;
    private List<String> nextWrong = new ArrayList<>();

    /** @param prefix of the keys; what follows it in a key is the searcher's id */
    public RegistryView(String prefix) {
        if (prefix.isEmpty()) {
            throw new IllegalArgumentException("prefix: must not be empty");
        }
        this.prefix = prefix;
    }

    /** The revision up to which all changes are in. */
    public long revision() {
        return revision;
    }

    /** Keys, those with values that can't be read included. */
    public int size() {
        return rows.size();
    }

    public Collection<SearcherRecord> stores() {
        List<SearcherRecord> all = new ArrayList<>();
        rows.values().forEach(row -> {
            if (row.store != null) {
                all.add(row.store);
            }
        });
        return all;
    }

    /** All keys, for the kept copy. */
    public List<KeyValue> entries() {
        List<KeyValue> all = new ArrayList<>(rows.size());
        rows.forEach((key, row) -> all.add(new KeyValue(key, row.value, row.modRevision, row.lease)));
        return all;
    }

    /** Drops what was read of a view that did not become whole. */
    public void begin() {
        next = new LinkedHashMap<>();
        nextRevision = 0;
        nextWrong = new ArrayList<>();
    }

    /**
     * A page of the view that is read anew. Throws IllegalStateException where its revision is not that of the pages
     * before it: what they hold together was never true at one time.
     */
    public void page(long atRevision, List<KeyValue> entries) {
        if (next == null || (nextRevision != 0 && nextRevision != atRevision)) {
            throw new IllegalStateException("a page of revision " + atRevision + " after one of " + nextRevision);
        }
        nextRevision = atRevision;
        entries.forEach(each -> put(next, each, rows.get(each.key()), nextWrong));
    }

    /** A key whose value could not be taken keeps its last good state in the view that is read, if it has one. */
    public void keep(String key, long modRevision) {
        Row row = new Row();
        Row known = rows.get(key);
        row.modRevision = modRevision;
        row.value = known == null ? new byte[0] : known.value;
        row.store = known == null ? null : known.store;
        next.put(key, row);
        nextWrong.add(key + ": the value is larger than can be taken");
    }

    /**
     * The view that was read goes into force. With {@code restored} the registry went back to an older state: a
     * searcher that was draining here and is ready there, not started anew, stays draining until its key changes.
     * Danger: the older state may not know of the drain, and rule 3 would be broken by believing it.
     */
    public ViewUpdate commit(boolean restored) {
        Map<String, Row> before = rows;
        List<SearcherRecord> changed = new ArrayList<>();
        int vanished = 0;
        for (Map.Entry<String, Row> each : before.entrySet()) {
            if (each.getValue().store != null && !next.containsKey(each.getKey())) {
                changed.add(each.getValue().store.at(SchedulerHost.LifecycleState.GONE));
                vanished++;
            }
        }
        for (Map.Entry<String, Row> each : next.entrySet()) {
            Row row = each.getValue();
            Row old = before.get(each.getKey());
            boolean drained =
                    old != null && old.store != null && old.store.stage() == SchedulerHost.LifecycleState.DRAINING;
            if (row.store != null
                    && row.store.stage() == SchedulerHost.LifecycleState.READY
                    && drained
                    && row.store.startedAt() <= old.store.startedAt()
                    && (restored || (old.distrusted && row.modRevision == old.modRevision))) {
                row.distrusted = true;
                row.store = row.store.at(SchedulerHost.LifecycleState.DRAINING);
            }
            if (row.store != null && (old == null || !row.store.equals(old.store))) {
                changed.add(row.store);
            }
        }
        boolean mass = mass(vanished, before.size());
        rows = next;
        next = null;
        revision = nextRevision;
        return new ViewUpdate(revision, true, changed, nextWrong, vanished, mass, List.of());
    }

    /** Events of a watch, whole revisions in rising order. The step may be empty. */
    public ViewUpdate apply(List<KeyValue> events) {
        // Of several changes to one key the last one counts; what differs is told once.
        Map<String, SearcherRecord> stood = new HashMap<>();
        Map<String, SearcherRecord> left = new LinkedHashMap<>();
        List<String> order = new ArrayList<>();
        List<String> wrong = new ArrayList<>();
        List<KeyValue> taken = new ArrayList<>();
        int size = rows.size();
        long upTo = revision;
        for (KeyValue each : events) {
            if (each.modRevision() <= revision || !each.key().startsWith(prefix)) {
                continue;
            }
            Row row = rows.get(each.key());
            if (row != null && row.modRevision >= each.modRevision()) {
                continue;
            }
            taken.add(each);
            if (!stood.containsKey(each.key())) {
                stood.put(each.key(), row == null ? null : row.store);
                order.add(each.key());
            }
            if (each.value() == null) {
                if (row != null && row.store != null) {
                    left.put(each.key(), row.store);
                }
                rows.remove(each.key());
            } else {
                put(rows, each, row, wrong);
            }
            upTo = Math.max(upTo, each.modRevision());
        }
        revision = upTo;
        List<SearcherRecord> changed = new ArrayList<>();
        int vanished = 0;
        for (String key : order) {
            Row row = rows.get(key);
            SearcherRecord now = row == null ? null : row.store;
            SearcherRecord then = stood.get(key);
            if (now == null && (then != null || left.containsKey(key))) {
                changed.add((then != null ? then : left.get(key)).at(SchedulerHost.LifecycleState.GONE));
                vanished++;
            } else if (now != null && !now.equals(then)) {
                changed.add(now);
            }
        }
        return new ViewUpdate(revision, false, changed, wrong, vanished, mass(vanished, size), taken);
    }

    /** All changes up to this revision have been told. */
    public void progressed(long upTo) {
        revision = Math.max(revision, upTo);
    }

    private static boolean mass(int vanished, int of) {
        return vanished >= MASS_LEAST && vanished > MASS_SHARE * of;
    }

    private void put(Map<String, Row> into, KeyValue entry, Row known, List<String> wrong) {
        if (!entry.key().startsWith(prefix)) {
            return;
        }
        Row row = new Row();
        row.modRevision = entry.modRevision();
        row.value = entry.value();
        row.lease = entry.lease();
        if (known != null && known.modRevision == entry.modRevision() && Arrays.equals(known.value, entry.value())) {
            row.store = known.distrusted ? known.store.at(SchedulerHost.LifecycleState.READY) : known.store;
            into.put(entry.key(), row);
            return;
        }
        try {
            row.store = SearcherRecord.read(entry.key().substring(prefix.length()), entry.value());
        } catch (IllegalArgumentException odd) {
            // Danger: one bad value would take its searcher, or the whole view, away. Harm: an old address is kept.
            row.store = known == null ? null : known.store;
            wrong.add(entry.key() + ": " + odd.getMessage());
        }
        into.put(entry.key(), row);
    }
}
