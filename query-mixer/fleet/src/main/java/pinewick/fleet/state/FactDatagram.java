package pinewick.fleet.state;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.List;
import pinewick.fleet.Datagram;
import pinewick.fleet.DatagramEnvelope;

/**
 * Encodes and decodes the datagrams with replicated facts. They never exceed {@link Datagram#MAX_BYTES}; numbers
 * are big-endian.
 *
 * <pre>
 * byte  version, 0xF2
 * byte  type: 0 facts, 1 checksums (requests what differs), 2 facts, the last part of an answer to checksums,
 *       3 replicas whose key range differs, 4 replicas requested
 * byte  number of items
 *   facts, 17 bytes each: kind 1, key 4, origin 2, stamp 6, values 2 and 2; checksums, 4 bytes each; replicas, key 4
 *       and checksum 4; or requested keys, 4 bytes each
 * 4     CRC-32 of all preceding bytes
 * </pre>
 */
public final class FactDatagram {
    /** First byte of these datagrams, which tells them from {@link Datagram}. */
    public static final byte VERSION = (byte) 0xF2;

    static final int FACT_BYTES = 17;
    private static final int HEADER_BYTES = 3;
    private static final int CHECKSUM_BYTES = DatagramEnvelope.CHECKSUM_BYTES;
    /** Maximum number of facts in one datagram. */
    public static final int MAX_FACTS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / FACT_BYTES;

    private static final FactKind[] KINDS = FactKind.values();

    /** Receives the contents of a datagram after the whole datagram was validated. */
    public interface Reader {
        /** One fact of the sender, own or forwarded. */
        void onFact(Fact fact);

        /** Checksums of the sender's key ranges; it requests what differs. */
        void onChecksums(int[] checksums);

        /** Keys of replicas in differing ranges, with their checksums at the sender. */
        void onReplicas(int[] keys, int[] checksums);

        /** The sender requests all facts about these replicas. */
        void onKeysRequested(int[] keys);

        /** The sender has completed its answer to this router's checksums. */
        void onAnswerComplete();
    }

    /** Maximum number of replicas in one datagram with their checksums, and maximum number of keys alone. */
    static final int MAX_REPLICAS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / 8;

    static final int MAX_KEYS = (Datagram.MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / 4;
    private static final int[] ITEM_BYTES = {FACT_BYTES, 4, FACT_BYTES, 8, 4};

    private FactDatagram() {}

    /** @param last whether the datagram completes an answer to checksums */
    public static byte[] facts(List<Fact> facts, boolean last) {
        if (facts.size() > MAX_FACTS) {
            throw new IllegalArgumentException(facts.size() + " facts in one datagram, limit is " + MAX_FACTS);
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

    static byte[] replicas(List<Integer> keys, List<Integer> checksums) {
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

    /** Reads one fact; null if it is invalid. */
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
     * Decodes one datagram. Returns the reason why it is invalid, or null if it is valid; the reader is called
     * only for a valid datagram.
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
                    reader.onReplicas(keys, checksums);
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
