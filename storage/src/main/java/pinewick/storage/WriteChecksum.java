package pinewick.storage;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredSnapshot;

/**
 * A checksum over everything that a store holds, renewed with each write: a chain over snapshot and changes, closed by
 * the head.
 */
final class WriteChecksum {
    /** Stands once in each write, so that the writes in a piece of the log can be counted. */
    static final byte[] MARK = {(byte) 0x9E, 0x37, 0x79, (byte) 0xB9, 0x7F, 0x4A, 0x7C, 0x15};

    private WriteChecksum() {}

    /** Of a snapshot without changes after it. */
    static int ofSnapshot(StoredSnapshot snapshot) {
        return chained(chained(0, snapshot.document()), snapshot.changes());
    }

    /** Of what {@code before} is the checksum of, and one more change, as it is stored. */
    static int withChange(int before, byte[] change) {
        return chained(before, change);
    }

    static int ofContent(StoredSnapshot snapshot, List<StoredChange> changes) {
        int checksum = ofSnapshot(snapshot);
        for (StoredChange change : changes) {
            checksum = withChange(checksum, StoredFormat.writeChange(change));
        }
        return checksum;
    }

    /** What is stored beside a head. */
    static byte[] entry(int content, byte[] head) {
        return ByteBuffer.allocate(MARK.length + Integer.BYTES)
                .put(MARK)
                .putInt(chained(content, head))
                .array();
    }

    private static int chained(int before, byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(before).flip());
        checksum.update(bytes);
        return (int) checksum.getValue();
    }
}
