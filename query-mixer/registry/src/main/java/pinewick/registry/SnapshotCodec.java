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
 * The form of the kept copy: a file begins with one record that holds a whole view, records of changes follow. Each
 * record is its length, a CRC-32C over the rest, and its content. No I/O. What is torn or spoilt ends the reading
 * there: everything before it was whole at one time.
 */
public final class SnapshotCodec {
    private static final int WHOLE = 1;
    private static final int CHANGES = 2;
    private static final int FORM = 1;
    private static final int LONGEST = 256 << 20;

    /** A view read back, what changed since, and how many bytes of the file were sound. */
    public record Kept(long wholeRevision, List<KeyValue> entries, List<Changes> changes, int sound) {
        public long revision() {
            return changes.isEmpty()
                    ? wholeRevision
                    : changes.get(changes.size() - 1).revision();
        }
    }

    /** Events that took a view to a revision. */
    public record Changes(long revision, List<KeyValue> events) {}

    private SnapshotCodec() {}

    public static byte[] whole(long revision, List<KeyValue> entries) {
        return record(WHOLE, revision, entries);
    }

    public static byte[] changes(long revision, List<KeyValue> events) {
        return record(CHANGES, revision, events);
    }

    private static byte[] record(int kind, long revision, List<KeyValue> entries) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + 128 * entries.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(FORM);
            out.writeByte(kind);
            out.writeLong(revision);
            out.writeInt(entries.size());
            for (KeyValue each : entries) {
                out.writeUTF(each.key());
                out.writeLong(each.modRevision());
                out.writeLong(each.lease());
                out.writeInt(each.value() == null ? -1 : each.value().length);
                if (each.value() != null) {
                    out.write(each.value());
                }
            }
        } catch (IOException never) {
            throw new UncheckedIOException(never);
        }
        ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
        CRC32C sum = new CRC32C();
        sum.update(record.array(), 8, record.capacity() - 8);
        record.putInt(0, record.capacity() - 8).putInt(4, (int) sum.getValue());
        return record.array();
    }

    /** Null where not even the whole view at the beginning is sound. */
    public static Kept read(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        Kept kept = null;
        while (in.remaining() >= 8) {
            int length = in.getInt(in.position());
            if (length < 14 || length > LONGEST || length > in.remaining() - 8) {
                break;
            }
            CRC32C sum = new CRC32C();
            sum.update(file, in.position() + 8, length);
            if ((int) sum.getValue() != in.getInt(in.position() + 4)) {
                break;
            }
            Kept next = content(file, in.position() + 8, length, kept);
            if (next == null) {
                break;
            }
            in.position(in.position() + 8 + length);
            kept = new Kept(next.wholeRevision(), next.entries(), next.changes(), in.position());
        }
        return kept;
    }

    private static Kept content(byte[] file, int from, int length, Kept before) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(file, from, length))) {
            int form = in.readByte();
            int kind = in.readByte();
            if (form != FORM || (kind == WHOLE) != (before == null)) {
                return null;
            }
            long revision = in.readLong();
            int count = in.readInt();
            List<KeyValue> entries = new ArrayList<>();
            for (int each = 0; each < count; each++) {
                String key = in.readUTF();
                long modRevision = in.readLong();
                long lease = in.readLong();
                int size = in.readInt();
                entries.add(new KeyValue(key, size < 0 ? null : in.readNBytes(size), modRevision, lease));
            }
            if (kind == WHOLE) {
                return new Kept(revision, entries, List.of(), 0);
            }
            List<Changes> changes = new ArrayList<>(before.changes());
            changes.add(new Changes(revision, entries));
            return new Kept(before.wholeRevision(), before.entries(), changes, 0);
        } catch (IOException | RuntimeException odd) {
            return null;
        }
    }

    /** Puts a kept copy into a view that holds nothing yet. */
    public static void into(Kept kept, RegistryView view) {
        view.begin();
        view.page(kept.wholeRevision(), kept.entries());
        view.commit(false);
        for (Changes each : kept.changes()) {
            view.apply(each.events());
            view.progressed(each.revision());
        }
    }
}
