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

/**
 * The most recent configurations of this process, and the encoded deltas from each of them to the newest one.
 * Thread-safe.
 */
final class ConfigurationHistory {
    private static final int MAX_DOCUMENTS = 8;

    /**
     * Older documents are evicted while they retain more items than this in total. Items that a document shares with
     * its successor cost little memory.
     */
    private static final int MAX_RETAINED_ITEMS = 3_000;

    /** The map entries of this many shared items take as much memory as one item that is not shared. */
    private static final int SHARED_ENTRIES_PER_ITEM = 16;

    private final TreeMap<Long, ConfigurationDocument> documents = new TreeMap<>();
    /** The number of items that each document except the newest retains. */
    private final Map<Long, Integer> retainedItemsByVersion = new HashMap<>();

    private final Map<Long, ConfigurationUpdate> updatesByBase = new HashMap<>();

    /** Adds a newer configuration. */
    synchronized void add(ConfigurationDocument document) {
        Map.Entry<Long, ConfigurationDocument> previous = documents.lowerEntry(document.version());
        if (previous != null) {
            retainedItemsByVersion.put(previous.getKey(), retainedItems(previous.getValue(), document));
        }
        documents.put(document.version(), document);
        updatesByBase.clear();
        while (documents.size() > MAX_DOCUMENTS || sum(retainedItemsByVersion) > MAX_RETAINED_ITEMS) {
            retainedItemsByVersion.remove(documents.pollFirstEntry().getKey());
        }
    }

    private static int sum(Map<Long, Integer> items) {
        return items.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The number of items that a document retains in addition to those of its successor. */
    private static int retainedItems(ConfigurationDocument document, ConfigurationDocument next) {
        int unsharedItems = 0;
        int sharedItems = 0;
        for (Map.Entry<String, Map<String, JsonObject>> section :
                document.sections().entrySet()) {
            Map<String, JsonObject> others = next.sections().getOrDefault(section.getKey(), Map.of());
            for (Map.Entry<String, JsonObject> item : section.getValue().entrySet()) {
                boolean isShared = others.get(item.getKey()) == item.getValue();
                unsharedItems += isShared ? 0 : 1;
                sharedItems += isShared ? 1 : 0;
            }
        }
        return unsharedItems + sharedItems / SHARED_ENTRIES_PER_ITEM;
    }

    /**
     * Caches the received update that led to the newest document, so that it can be forwarded without encoding it
     * again.
     */
    synchronized void cacheUpdate(ConfigurationUpdate update) {
        if (!documents.isEmpty() && update.version() == documents.lastKey()) {
            updatesByBase.put(update.baseVersion(), update.withInReplyTo(OutstandingRequests.NO_REQUEST));
        }
    }

    /** The version before the newest one, {@link ConfigurationDelta#FULL_DOCUMENT} if there is none. */
    synchronized long previousVersion() {
        Long previous = documents.isEmpty() ? null : documents.lowerKey(documents.lastKey());
        return previous == null ? ConfigurationDelta.FULL_DOCUMENT : previous;
    }

    /** Whether a process with this version needs the full document, because there is no delta from its version. */
    synchronized boolean requiresFullDocument(long version) {
        return !updatesByBase.containsKey(version) && !documents.containsKey(version);
    }

    /** The number of items of the newest document. */
    synchronized int newestItemCount() {
        return documents.lastEntry().getValue().sections().values().stream()
                .mapToInt(Map::size)
                .sum();
    }

    /** Returns the update from a version to the newest one; the full document if that version is no longer known. */
    synchronized ConfigurationUpdate updateFrom(long version) {
        ConfigurationUpdate cached = updatesByBase.get(version);
        if (cached != null) {
            return cached;
        }
        long base = documents.containsKey(version) ? version : ConfigurationDelta.FULL_DOCUMENT;
        return updatesByBase.computeIfAbsent(base, this::encode);
    }

    private ConfigurationUpdate encode(long base) {
        ConfigurationDocument newest = documents.lastEntry().getValue();
        ConfigurationDocument from = documents.getOrDefault(base, ConfigurationDocument.EMPTY);
        byte[] bytes = ConfigurationChecks.writeDelta(ConfigurationDelta.between(from, newest));
        return new ConfigurationUpdate(OutstandingRequests.NO_REQUEST, from.version(), newest.version(), bytes);
    }

    /**
     * Applies an update to {@code current}.
     *
     * @throws IllegalArgumentException if the update is corrupt or has another base version
     */
    static ConfigurationDocument apply(ConfigurationUpdate update, ConfigurationDocument current) {
        ConfigurationDelta delta = ConfigurationChecks.readDelta(update.body());
        boolean isFull = delta.baseVersion() == ConfigurationDelta.FULL_DOCUMENT;
        return delta.applyTo(isFull ? ConfigurationDocument.EMPTY : current);
    }
}
