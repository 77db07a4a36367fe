package pinewick.fleet.state;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.List;
import pinewick.fleet.Datagram;
import pinewick.fleet.DatagramEnvelope;

/**
 * Datagrams of replicated facts, written and read; never over {@link Datagram#MOST} bytes, numbers most significant
 * first.
 *
 * <pre>
 * byte  version, 0xF2
 * byte  what: 0 facts, 1 sums (asks for what differs), 2 facts, the last piece of an answer to sums, 3 searchers whose
 *       stretch differs, 4 searchers wanted
 * byte  how many
 *   facts, 17 bytes each: kind 1, key 4, origin 2, stamp 6, figures 2 and 2; sums, 4 bytes each; searchers, key 4 and
 *       sum 4; or keys wanted, 4 bytes each
 * 4     CRC-32 of all before
 * </pre>
 */
public final class FactDatagram {
    public static final byte VERSION = (byte) 0xF2;
    static final int FACT_BYTES = 17;
    private static final int HEADER_BYTES = 3;
    private static final int CHECKSUM_BYTES = DatagramEnvelope.CHECKSUM_BYTES;
    /** Facts that one datagram takes. */
    public static final int MAX_FACTS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / FACT_BYTES;

    private static final FactKind[] KINDS = FactKind.values();

    /** Is told what a datagram says, after the whole of it was found sound. */
    public interface Reader {
        void onFact(Fact fact);

        /** The sender's sums; it wants what differs. */
        void onChecksums(int[] checksums);

        /** Searchers of stretches that differ, with their sums there. */
        void onSearchers(int[] keys, int[] checksums);

        /** The sender wants all that is held of these. */
        void onKeysRequested(int[] keys);

        /** All that the other had to say to this mixer's sums has been sent. */
        void onAnswerComplete();
    }

    /** Searchers that one datagram names with their sums, and without. */
    static final int MAX_SEARCHERS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / 8;

    static final int MAX_KEYS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / 4;
    private static final int[] ITEM_BYTES = {FACT_BYTES, 4, FACT_BYTES, 8, 4};

    private FactDatagram() {}

    /** @param last whether it ends an answer to sums */
    public static byte[] facts(List<Fact> facts, boolean last) {
        if (facts.size() > MAX_FACTS) {
            throw new IllegalArgumentException(facts.size() + " facts in one datagram, which takes " + MAX_FACTS);
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + facts.size() * FACT_BYTES + CHECKSUM_BYTES);
        out.put(VERSION).put((byte) (last ? 2 : 0)).put((byte) facts.size());
        for (Fact each : facts) {
            writeFact(out, each);
        }
        return withChecksum(out);
    }

    static byte[] checksums(int[] checksums) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + checksums.length * 4 + CHECKSUM_BYTES);
        out.put(VERSION).put((byte) 1).put((byte) checksums.length);
        for (int each : checksums) {
            out.putInt(each);
        }
        return withChecksum(out);
    }

    static byte[] searchers(List<Integer> keys, List<Integer> checksums) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + keys.size() * 8 + CHECKSUM_BYTES);
        out.put(VERSION).put((byte) 3).put((byte) keys.size());
        for (int each = 0; each < keys.size(); each++) {
            out.putInt(keys.get(each)).putInt(checksums.get(each));
        }
        return withChecksum(out);
    }

    static byte[] keyRequest(List<Integer> keys) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + keys.size() * 4 + CHECKSUM_BYTES);
        out.put(VERSION).put((byte) 4).put((byte) keys.size());
        keys.forEach(out::putInt);
        return withChecksum(out);
    }

    static void writeFact(ByteBuffer out, Fact fact) {
        out.put((byte) fact.kind().ordinal())
                .putInt(fact.key())
                .putShort((short) fact.origin())
                .putShort((short) (fact.stamp() >>> 32))
                .putInt((int) fact.stamp())
                .putShort(Fact.encode(fact.value()))
                .putShort(Fact.encode(fact.secondValue()));
    }

    /** One fact; null where it can't be one. */
    static Fact readFact(ByteBuffer in) {
        int kind = in.get();
        int key = in.getInt();
        int origin = in.getShort() & 0xFFFF;
        long stamp = (in.getShort() & 0xFFFFL) << 32 | (in.getInt() & 0xFFFFFFFFL);
        double value = Fact.decode(in.getShort());
        double secondValue = Fact.decode(in.getShort());
        return kind < 0 || kind >= KINDS.length || origin >= Datagram.MAX_MEMBERS
                ? null
                : new Fact(key, KINDS[kind], origin, stamp, value, secondValue);
    }

    private static byte[] withChecksum(ByteBuffer out) {
        DatagramEnvelope.appendChecksum(out);
        return out.array();
    }

    /**
     * Reads one datagram. Returns why it can't be used, or null where it could; then, and only then, the reader was
     * told.
     */
    public static String read(byte[] datagram, int length, Reader reader) {
        String fault = DatagramEnvelope.findFault(datagram, length, VERSION, HEADER_BYTES);
        if (fault != null) {
            return fault;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 0, length);
        in.limit(length - CHECKSUM_BYTES);
        in.get();
        int type = in.get();
        int count = in.get() & 0xFF;
        if (type < 0 || type >= ITEM_BYTES.length || in.remaining() != count * ITEM_BYTES[type]) {
            return "form";
        }
        try {
            if (type == 1 || type == 3 || type == 4) {
                int[] keys = new int[count];
                int[] checksums = new int[count];
                for (int each = 0; each < count; each++) {
                    keys[each] = in.getInt();
                    checksums[each] = type == 3 ? in.getInt() : 0;
                }
                if (type == 1) {
                    reader.onChecksums(keys);
                } else if (type == 3) {
                    reader.onSearchers(keys, checksums);
                } else {
                    reader.onKeysRequested(keys);
                }
                return null;
            }
            Fact[] facts = new Fact[count];
            for (int each = 0; each < count; each++) {
                facts[each] = readFact(in);
                if (facts[each] == null) {
                    return "form";
                }
            }
            for (Fact each : facts) {
                reader.onFact(each);
            }
            if (type == 2) {
                reader.onAnswerComplete();
            }
            return null;
        } catch (BufferUnderflowException shorter) {
            return "form";
        }
    }
}
