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
    static final int FACT = 17;
    private static final int HEAD = 3;
    private static final int SUM = DatagramEnvelope.BYTES;
    /** Facts that one datagram takes. */
    public static final int FACTS = (Datagram.MOST - HEAD - SUM) / FACT;

    private static final FactKind[] KINDS = FactKind.values();

    /** Is told what a datagram says, after the whole of it was found sound. */
    public interface Reader {
        void fact(Fact fact);

        /** The sender's sums; it wants what differs. */
        void sums(int[] sums);

        /** Searchers of stretches that differ, with their sums there. */
        void searchers(int[] keys, int[] sums);

        /** The sender wants all that is held of these. */
        void wanted(int[] keys);

        /** All that the other had to say to this mixer's sums has been sent. */
        void last();
    }

    /** Searchers that one datagram names with their sums, and without. */
    static final int SEARCHERS = (Datagram.MOST - HEAD - SUM) / 8;

    static final int WANTED = (Datagram.MOST - HEAD - SUM) / 4;
    private static final int[] SIZES = {FACT, 4, FACT, 8, 4};

    private FactDatagram() {}

    /** @param last whether it ends an answer to sums */
    public static byte[] facts(List<Fact> facts, boolean last) {
        if (facts.size() > FACTS) {
            throw new IllegalArgumentException(facts.size() + " facts in one datagram, which takes " + FACTS);
        }
        ByteBuffer out = ByteBuffer.allocate(HEAD + facts.size() * FACT + SUM);
        out.put(VERSION).put((byte) (last ? 2 : 0)).put((byte) facts.size());
        for (Fact each : facts) {
            put(out, each);
        }
        return summed(out);
    }

    static byte[] sums(int[] sums) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + sums.length * 4 + SUM);
        out.put(VERSION).put((byte) 1).put((byte) sums.length);
        for (int each : sums) {
            out.putInt(each);
        }
        return summed(out);
    }

    static byte[] searchers(List<Integer> keys, List<Integer> sums) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + keys.size() * 8 + SUM);
        out.put(VERSION).put((byte) 3).put((byte) keys.size());
        for (int each = 0; each < keys.size(); each++) {
            out.putInt(keys.get(each)).putInt(sums.get(each));
        }
        return summed(out);
    }

    static byte[] wanted(List<Integer> keys) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + keys.size() * 4 + SUM);
        out.put(VERSION).put((byte) 4).put((byte) keys.size());
        keys.forEach(out::putInt);
        return summed(out);
    }

    static void put(ByteBuffer out, Fact fact) {
        out.put((byte) fact.kind().ordinal())
                .putInt(fact.key())
                .putShort((short) fact.origin())
                .putShort((short) (fact.stamp() >>> 32))
                .putInt((int) fact.stamp())
                .putShort(Fact.coded(fact.first()))
                .putShort(Fact.coded(fact.second()));
    }

    /** One fact; null where it can't be one. */
    static Fact get(ByteBuffer in) {
        int kind = in.get();
        int key = in.getInt();
        int origin = in.getShort() & 0xFFFF;
        long stamp = (in.getShort() & 0xFFFFL) << 32 | (in.getInt() & 0xFFFFFFFFL);
        double first = Fact.decoded(in.getShort());
        double second = Fact.decoded(in.getShort());
        return kind < 0 || kind >= KINDS.length || origin >= Datagram.PLACES
                ? null
                : new Fact(key, KINDS[kind], origin, stamp, first, second);
    }

    private static byte[] summed(ByteBuffer out) {
        DatagramEnvelope.put(out);
        return out.array();
    }

    /**
     * Reads one datagram. Returns why it can't be used, or null where it could; then, and only then, the reader was
     * told.
     */
    public static String read(byte[] whole, int length, Reader reader) {
        String fault = DatagramEnvelope.fault(whole, length, VERSION, HEAD);
        if (fault != null) {
            return fault;
        }
        ByteBuffer in = ByteBuffer.wrap(whole, 0, length);
        in.limit(length - SUM);
        in.get();
        int what = in.get();
        int count = in.get() & 0xFF;
        if (what < 0 || what >= SIZES.length || in.remaining() != count * SIZES[what]) {
            return "form";
        }
        try {
            if (what == 1 || what == 3 || what == 4) {
                int[] words = new int[count];
                int[] sums = new int[count];
                for (int each = 0; each < count; each++) {
                    words[each] = in.getInt();
                    sums[each] = what == 3 ? in.getInt() : 0;
                }
                if (what == 1) {
                    reader.sums(words);
                } else if (what == 3) {
                    reader.searchers(words, sums);
                } else {
                    reader.wanted(words);
                }
                return null;
            }
            Fact[] facts = new Fact[count];
            for (int each = 0; each < count; each++) {
                facts[each] = get(in);
                if (facts[each] == null) {
                    return "form";
                }
            }
            for (Fact each : facts) {
                reader.fact(each);
            }
            if (what == 2) {
                reader.last();
            }
            return null;
        } catch (BufferUnderflowException shorter) {
            return "form";
        }
    }
}
