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
    private static final int HEAD = 20;
    private static final int RECORD = FactDatagram.FACT + 4;

    /** What was read: facts, or why nothing can be believed. */
    public record Read(List<Fact> facts, String refused) {}

    private FactSnapshotFormat() {}

    public static byte[] write(int self, int size, double now, List<Fact> facts) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + facts.size() * RECORD + 4);
        out.putInt(MAGIC)
                .putShort((short) self)
                .putShort((short) size)
                .putLong(Math.round(now * 1e3))
                .putInt(facts.size());
        for (Fact each : facts) {
            int from = out.position();
            FactDatagram.put(out, each);
            out.putInt(sum(out.array(), from, FactDatagram.FACT));
        }
        out.putInt(sum(out.array(), 0, out.position()));
        return out.array();
    }

    /** @param most seconds that a snapshot may be old */
    public static Read read(byte[] whole, int self, int size, double now, double most) {
        ByteBuffer in = ByteBuffer.wrap(whole);
        if (whole.length < HEAD + 4) {
            return refused("torn: " + whole.length + " bytes");
        }
        if (in.getInt() != MAGIC) {
            return refused("no snapshot of this program's");
        }
        int place = in.getShort() & 0xFFFF;
        int listed = in.getShort() & 0xFFFF;
        double age = now - in.getLong() / 1e3;
        int records = in.getInt();
        if (records < 0 || whole.length != HEAD + (long) records * RECORD + 4) {
            return refused("torn: " + whole.length + " bytes for " + records + " records");
        }
        if (in.getInt(whole.length - 4) != sum(whole, 0, whole.length - 4)) {
            return refused("spoilt: the sum over all does not fit");
        }
        if (place != self || listed != size) {
            return refused("of another mixer: " + place + " of " + listed);
        }
        if (!(age >= -1 && age <= most)) {
            return refused("stale: written " + Math.round(age) + " s ago");
        }
        List<Fact> facts = new ArrayList<>(records);
        for (int each = 0; each < records; each++) {
            int from = in.position();
            Fact fact = FactDatagram.get(in);
            if (fact == null || in.getInt() != sum(whole, from, FactDatagram.FACT)) {
                return refused("spoilt: record " + each);
            }
            facts.add(fact);
        }
        return new Read(facts, null);
    }

    private static Read refused(String why) {
        return new Read(List.of(), why);
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32 sum = new CRC32();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
