package pinewick.fleet.state;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A snapshot of the facts one mixer holds, as bytes; no I/O. Nothing of it is believed unless all of it is sound: every
 * record has a sum of its own and the whole has one, and it names whose it is and when it was written.
 *
 * <pre>
 * 4  "PWF1"
 * 2  place of the mixer, 2 how many are listed
 * 8  milliseconds since 1970
 * 4  how many records; each 17 bytes of a fact as in {@link FactDatagram} and the CRC-32 of these
 * 4  CRC-32 of all before
 * </pre>
 */
public final class FactSnapshotFormat {
    private static final int MAGIC = 0x50574631;
    private static final int HEADER_BYTES = 20;
    private static final int RECORD_BYTES = FactDatagram.FACT_BYTES + 4;

    /** What was read: facts, or why nothing can be believed. */
    public record Result(List<Fact> facts, String rejection) {}

    private FactSnapshotFormat() {}

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

    /** @param most seconds that a snapshot may be old */
    public static Result read(byte[] snapshot, int self, int size, double now, double maxAgeSeconds) {
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        if (snapshot.length < HEADER_BYTES + 4) {
            return rejected("torn: " + snapshot.length + " bytes");
        }
        if (in.getInt() != MAGIC) {
            return rejected("no snapshot of this program's");
        }
        int index = in.getShort() & 0xFFFF;
        int listedMembers = in.getShort() & 0xFFFF;
        double ageSeconds = now - in.getLong() / 1e3;
        int records = in.getInt();
        if (records < 0 || snapshot.length != HEADER_BYTES + (long) records * RECORD_BYTES + 4) {
            return rejected("torn: " + snapshot.length + " bytes for " + records + " records");
        }
        if (in.getInt(snapshot.length - 4) != crc32(snapshot, 0, snapshot.length - 4)) {
            return rejected("spoilt: the sum over all does not fit");
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
