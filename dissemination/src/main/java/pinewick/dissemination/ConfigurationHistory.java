package pinewick.dissemination;

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
    /** Older documents are given up while all together hold more items: large ones cost memory. */
    private static final int MAX_ITEMS = 4_000;

    private final TreeMap<Long, ConfigurationDocument> documents = new TreeMap<>();
    private final Map<Long, ConfigurationUpdate> updatesByBase = new HashMap<>();

    /** A newer configuration is in force. */
    synchronized void add(ConfigurationDocument document) {
        documents.put(document.version(), document);
        updatesByBase.clear();
        while (documents.size() > KEPT || documents.size() > 1 && itemCount() > MAX_ITEMS) {
            documents.pollFirstEntry();
        }
    }

    private int itemCount() {
        return documents.values().stream()
                .flatMap(document -> document.sections().values().stream())
                .mapToInt(Map::size)
                .sum();
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
