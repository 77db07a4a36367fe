package pinewick.fleet.state;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Binary format of a snapshot of the facts of one router; does no I/O. A snapshot is used only if all of it is
 * valid: each record and the whole snapshot have a checksum, and it names its router and the time of writing.
 *
 * <pre>
 * 4  "PWF1"
 * 2  index of the router, 2 number of listed routers
 * 8  milliseconds since 1970
 * 4  number of records; each 17 bytes of a fact as in {@link FactDatagram} and their CRC-32
 * 4  CRC-32 of all preceding bytes
 * </pre>
 */
public final class FactSnapshotFormat {
    private static final int MAGIC = 0x50574631;
    private static final int HEADER_BYTES = 20;
    private static final int RECORD_BYTES = FactDatagram.FACT_BYTES + 4;

    /**
     * Result of reading: the facts, or the reason for the rejection and no facts; the reason is null for a valid
     * snapshot.
     */
    public record Result(List<Fact> facts, String rejection) {}

    private FactSnapshotFormat() {}

    /** Encodes the facts of a router; {@code now} is seconds since 1970. */
    public static byte[] write(int self, int size, double now, List<Fact> facts) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + facts.size() * RECORD_BYTES + 4);
        out.putInt(MAGIC)
                .putShort((short) self)
                .putShort((short) size)
                .putLong(Math.round(now * 1e3))
                .putInt(facts.size());
        for (Fact each : facts) {
            int from = out.position();
            FactDatagram.writeFact(out, each);
            out.putInt(crc32(out.array(), from, FactDatagram.FACT_BYTES));
        }
        out.putInt(crc32(out.array(), 0, out.position()));
        return out.array();
    }

    /** @param maxAgeSeconds maximum age of the snapshot in seconds */
    public static Result read(byte[] snapshot, int self, int size, double now, double maxAgeSeconds) {
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        if (snapshot.length < HEADER_BYTES + 4) {
            return rejected("torn: " + snapshot.length + " bytes");
        }
        if (in.getInt() != MAGIC) {
            return rejected("not a snapshot of this program");
        }
        int index = in.getShort() & 0xFFFF;
        int listedMembers = in.getShort() & 0xFFFF;
        double ageSeconds = now - in.getLong() / 1e3;
        int records = in.getInt();
        if (records < 0 || snapshot.length != HEADER_BYTES + (long) records * RECORD_BYTES + 4) {
            return rejected("torn: " + snapshot.length + " bytes for " + records + " records");
        }
        if (in.getInt(snapshot.length - 4) != crc32(snapshot, 0, snapshot.length - 4)) {
            return rejected("spoilt: the checksum of the file does not match");
        }
        if (index != self || listedMembers != size) {
            return rejected("of another mixer: " + index + " of " + listedMembers);
        }
        if (!(ageSeconds >= -1 && ageSeconds <= maxAgeSeconds)) {
            return rejected("stale: written " + Math.round(ageSeconds) + " s ago");
        }
        List<Fact> facts = new ArrayList<>(records);
        for (int each = 0; each < records; each++) {
            int from = in.position();
            Fact fact = FactDatagram.readFact(in);
            if (fact == null || in.getInt() != crc32(snapshot, from, FactDatagram.FACT_BYTES)) {
                return rejected("spoilt: record " + each);
            }
            facts.add(fact);
        }
        return new Result(facts, null);
    }

    private static Result rejected(String reason) {
        return new Result(List.of(), reason);
    }

    private static int crc32(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
