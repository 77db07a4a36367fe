package pinewick.dissemination;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import pinewick.dissemination.FleetMessages.ConfigurationUpdate;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;

/** The last configurations that this process held, and the differences to the newest as they are sent. */
final class ConfigurationHistory {
    private static final int KEPT = 8;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int CHUNK_BYTES = 8_192;

    private final TreeMap<Long, ConfigurationDocument> documents = new TreeMap<>();
    private final Map<Long, ConfigurationUpdate> updatesByBase = new HashMap<>();

    /** A newer configuration is in force. */
    synchronized void add(ConfigurationDocument document) {
        documents.put(document.version(), document);
        updatesByBase.clear();
        while (documents.size() > KEPT) {
            documents.pollFirstEntry();
        }
    }

    /** The version before the newest, {@link ConfigurationDelta#WHOLE} if none was held. */
    synchronized long previousVersion() {
        Long previous = documents.isEmpty() ? null : documents.lowerKey(documents.lastKey());
        return previous == null ? ConfigurationDelta.WHOLE : previous;
    }

    /** What turns a version into the newest one; the whole newest one where that version is not known any more. */
    synchronized ConfigurationUpdate updateFrom(long version) {
        long base = documents.containsKey(version) ? version : ConfigurationDelta.WHOLE;
        return updatesByBase.computeIfAbsent(base, this::encode);
    }

    private ConfigurationUpdate encode(long base) {
        ConfigurationDocument newest = documents.lastEntry().getValue();
        ConfigurationDocument from = documents.getOrDefault(base, ConfigurationDocument.EMPTY);
        byte[] bytes = ConfigurationChecks.writeDelta(ConfigurationDelta.between(from, newest));
        return new ConfigurationUpdate(from.version(), newest.version(), deflate(bytes));
    }

    /**
     * Applies an update to {@code current}.
     *
     * @throws IllegalArgumentException if the update is damaged or has another base
     */
    static ConfigurationDocument apply(ConfigurationUpdate update, ConfigurationDocument current) {
        ConfigurationDelta delta = ConfigurationChecks.readDelta(inflate(update.body()));
        boolean whole = delta.baseVersion() == ConfigurationDelta.WHOLE;
        return delta.applyTo(whole ? ConfigurationDocument.EMPTY : current);
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] bytes) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 || out.size() > MAX_BODY_BYTES) {
                    throw new IllegalArgumentException("configuration update is damaged or too long");
                }
                out.write(chunk, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("configuration update is damaged", e);
        } finally {
            inflater.end();
        }
    }
}
