package pinewick.registry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The file format of the on-disk snapshot: a file begins with a record that holds a full view, and records of changes
 * follow. Each record consists of its length, a CRC-32C over its content, and the content. No I/O. Decoding stops at
 * the first torn or corrupted record: everything before it was a consistent state.
 */
public final class SnapshotCodec {
    private static final int SNAPSHOT = 1;
    private static final int CHANGES = 2;
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_RECORD_BYTES = 256 << 20;

    /** A decoded view, the changes since, and the number of valid bytes in the file. */
    public record Snapshot(long baseRevision, List<KeyValue> keyValues, List<ChangeSet> changes, int validBytes) {
        public long revision() {
            return changes.isEmpty()
                    ? baseRevision
                    : changes.get(changes.size() - 1).revision();
        }
    }

    /** The watch events that took a view to a revision. */
    public record ChangeSet(long revision, List<KeyValue> events) {}

    private SnapshotCodec() {}

    public static byte[] encodeSnapshot(long revision, List<KeyValue> keyValues) {
        return encodeRecord(SNAPSHOT, revision, keyValues);
    }

    public static byte[] encodeChanges(long revision, List<KeyValue> events) {
        return encodeRecord(CHANGES, revision, events);
    }

    private static byte[] encodeRecord(int kind, long revision, List<KeyValue> keyValues) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + 128 * keyValues.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(FORMAT_VERSION);
            out.writeByte(kind);
            out.writeLong(revision);
            out.writeInt(keyValues.size());
            for (KeyValue each : keyValues) {
                out.writeUTF(each.key());
                out.writeLong(each.modRevision());
                out.writeLong(each.lease());
                out.writeInt(each.value() == null ? -1 : each.value().length);
                if (each.value() != null) {
                    out.write(each.value());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
        CRC32C checksum = new CRC32C();
        checksum.update(record.array(), 8, record.capacity() - 8);
        record.putInt(0, record.capacity() - 8).putInt(4, (int) checksum.getValue());
        return record.array();
    }

    /** Null if not even the initial snapshot record is valid. */
    public static Snapshot decode(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        Snapshot snapshot = null;
        while (in.remaining() >= 8) {
            int length = in.getInt(in.position());
            if (length < 14 || length > MAX_RECORD_BYTES || length > in.remaining() - 8) {
                break;
            }
            CRC32C checksum = new CRC32C();
            checksum.update(file, in.position() + 8, length);
            if ((int) checksum.getValue() != in.getInt(in.position() + 4)) {
                break;
            }
            Snapshot next = decodeRecord(file, in.position() + 8, length, snapshot);
            if (next == null) {
                break;
            }
            in.position(in.position() + 8 + length);
            snapshot = new Snapshot(next.baseRevision(), next.keyValues(), next.changes(), in.position());
        }
        return snapshot;
    }

    private static Snapshot decodeRecord(byte[] file, int from, int length, Snapshot previous) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(file, from, length))) {
            int formatVersion = in.readByte();
            int kind = in.readByte();
            if (formatVersion != FORMAT_VERSION || (kind == SNAPSHOT) != (previous == null)) {
                return null;
            }
            long revision = in.readLong();
            int count = in.readInt();
            List<KeyValue> keyValues = new ArrayList<>();
            for (int each = 0; each < count; each++) {
                String key = in.readUTF();
                long modRevision = in.readLong();
                long lease = in.readLong();
                int valueLength = in.readInt();
                keyValues.add(
                        new KeyValue(key, valueLength < 0 ? null : in.readNBytes(valueLength), modRevision, lease));
            }
            if (kind == SNAPSHOT) {
                return new Snapshot(revision, keyValues, List.of(), 0);
            }
            List<ChangeSet> changes = new ArrayList<>(previous.changes());
            changes.add(new ChangeSet(revision, keyValues));
            return new Snapshot(previous.baseRevision(), previous.keyValues(), changes, 0);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Loads a snapshot into a view that is still empty. */
    public static void restore(Snapshot snapshot, RegistryView view) {
        view.beginRebuild();
        view.addPage(snapshot.baseRevision(), snapshot.keyValues());
        view.commit(false);
        for (ChangeSet each : snapshot.changes()) {
            view.apply(each.events());
            view.advanceTo(each.revision());
        }
    }
}
