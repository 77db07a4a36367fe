package pinewick.dissemination;

import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.membership.OutstandingRequests;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;

/** The last configurations that this process held, and the differences to the newest as they are sent. */
final class ConfigurationHistory {
    private static final int KEPT = 8;

    /**
     * Older documents are given up while all of them together cost more memory than so many items. What they share with
     * the document after them costs little.
     */
    private static final int MOST_OLDER_ITEMS = 3_000;

    /** So many entries for items that are shared cost as much as one item that is not. */
    private static final int SHARED_A_ITEM = 16;

    private final TreeMap<Long, ConfigurationDocument> documents = new TreeMap<>();
    /** What each document but the newest costs, in items. */
    private final Map<Long, Integer> olderItems = new HashMap<>();

    private final Map<Long, ConfigurationUpdate> updatesByBase = new HashMap<>();

    /** A newer configuration is in force. */
    synchronized void add(ConfigurationDocument document) {
        Map.Entry<Long, ConfigurationDocument> before = documents.lowerEntry(document.version());
        if (before != null) {
            olderItems.put(before.getKey(), itemsBeside(before.getValue(), document));
        }
        documents.put(document.version(), document);
        updatesByBase.clear();
        while (documents.size() > KEPT || sum(olderItems) > MOST_OLDER_ITEMS) {
            olderItems.remove(documents.pollFirstEntry().getKey());
        }
    }

    private static int sum(Map<Long, Integer> items) {
        return items.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** What a document costs beside the one after it. */
    private static int itemsBeside(ConfigurationDocument document, ConfigurationDocument next) {
        int own = 0;
        int shared = 0;
        for (Map.Entry<String, Map<String, JsonObject>> section :
                document.sections().entrySet()) {
            Map<String, JsonObject> others = next.sections().getOrDefault(section.getKey(), Map.of());
            for (Map.Entry<String, JsonObject> item : section.getValue().entrySet()) {
                boolean same = others.get(item.getKey()) == item.getValue();
                own += same ? 0 : 1;
                shared += same ? 1 : 0;
            }
        }
        return own + shared / SHARED_A_ITEM;
    }

    /** Keeps the bytes of an update that led to the newest document, to be sent on. */
    synchronized void remember(ConfigurationUpdate update) {
        if (!documents.isEmpty() && update.version() == documents.lastKey()) {
            updatesByBase.put(update.baseVersion(), update.inAnswerTo(OutstandingRequests.UNASKED));
        }
    }

    /** The version before the newest, {@link ConfigurationDelta#WHOLE} if none was held. */
    synchronized long previousVersion() {
        Long previous = documents.isEmpty() ? null : documents.lowerKey(documents.lastKey());
        return previous == null ? ConfigurationDelta.WHOLE : previous;
    }

    /** Whether the newest document would have to be sent whole to whoever holds a version. */
    synchronized boolean sendsWhole(long version) {
        return !updatesByBase.containsKey(version) && !documents.containsKey(version);
    }

    /** How many items the newest document has. */
    synchronized int newestItems() {
        return documents.lastEntry().getValue().sections().values().stream()
                .mapToInt(Map::size)
                .sum();
    }

    /** What turns a version into the newest one; the whole newest one where that version is not known any more. */
    synchronized ConfigurationUpdate updateFrom(long version) {
        ConfigurationUpdate remembered = updatesByBase.get(version);
        if (remembered != null) {
            return remembered;
        }
        long base = documents.containsKey(version) ? version : ConfigurationDelta.WHOLE;
        return updatesByBase.computeIfAbsent(base, this::encode);
    }

    private ConfigurationUpdate encode(long base) {
        ConfigurationDocument newest = documents.lastEntry().getValue();
        ConfigurationDocument from = documents.getOrDefault(base, ConfigurationDocument.EMPTY);
        byte[] bytes = ConfigurationChecks.writeDelta(ConfigurationDelta.between(from, newest));
        return new ConfigurationUpdate(OutstandingRequests.UNASKED, from.version(), newest.version(), bytes);
    }

    /**
     * Applies an update to {@code current}.
     *
     * @throws IllegalArgumentException if the update is damaged or has another base
     */
    static ConfigurationDocument apply(ConfigurationUpdate update, ConfigurationDocument current) {
        ConfigurationDelta delta = ConfigurationChecks.readDelta(update.body());
        boolean whole = delta.baseVersion() == ConfigurationDelta.WHOLE;
        return delta.applyTo(whole ? ConfigurationDocument.EMPTY : current);
    }
}
