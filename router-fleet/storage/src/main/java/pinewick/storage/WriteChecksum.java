package pinewick.storage;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredSnapshot;

/**
 * A checksum over the complete stored state, updated with each write: a checksum chain over the snapshot, the changes
 * and finally the head.
 */
final class WriteChecksum {
    /** Appears exactly once in each write, so that the writes in a section of the log can be counted. */
    static final byte[] MARKER = {(byte) 0x9E, 0x37, 0x79, (byte) 0xB9, 0x7F, 0x4A, 0x7C, 0x15};

    private WriteChecksum() {}

    /** The checksum of a snapshot without subsequent changes. */
    static int ofSnapshot(StoredSnapshot snapshot) {
        return chain(chain(0, snapshot.document()), snapshot.changes());
    }

    /** The checksum after another change, given in its stored encoding. */
    static int withChange(int previous, byte[] change) {
        return chain(previous, change);
    }

    static int ofContent(StoredSnapshot snapshot, List<StoredChange> changes) {
        int checksum = ofSnapshot(snapshot);
        for (StoredChange change : changes) {
            checksum = withChange(checksum, StoredFormat.writeChange(change));
        }
        return checksum;
    }

    /** The checksum entry that is stored together with a head. */
    static byte[] entry(int contentChecksum, byte[] head) {
        return ByteBuffer.allocate(MARKER.length + Integer.BYTES)
                .put(MARKER)
                .putInt(chain(contentChecksum, head))
                .array();
    }

    private static int chain(int previous, byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(previous).flip());
        checksum.update(bytes);
        return (int) checksum.getValue();
    }
}
