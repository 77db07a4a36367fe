package pinewick.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * The datagrams between mixers, written and read. Never over {@link #MOST} bytes, which the platform allows; numbers
 * most significant byte first.
 *
 * <pre>
 * byte  version, 0xF1
 * byte  kind
 * 2     place of the sender
 * 6     incarnation of the sender
 * 4     digest of the sender's view
 * 4     number: a probe's, handed back by what answers it; a state's first place
 * 2     place of the member it is about
 * byte  how many entries follow, or in SUMS how many sums of 2 bytes; then each entry:
 *   2     place, its standing in the three highest bits
 *   6     incarnation
 *   2, 1 of a suspect only: since when it is silent, the last bits of twentieths of a second since 1970; how many
 * accuse it
 *   2     of a suspect only, each: place of an accuser
 * 4     CRC-32 of all before
 * </pre>
 */
public final class Datagram {
    /** Bytes; a longer datagram would void a run of the platform's. */
    public static final int MAX_BYTES = 256;
    /** Places are below this, as three bits of sixteen tell the standing. */
    public static final int MAX_MEMBERS = 1 << 13;

    static final byte VERSION = (byte) 0xF1;
    private static final int HEADER_BYTES = 21;
    private static final int CHECKSUM_BYTES = DatagramEnvelope.CHECKSUM_BYTES;
    private static final int ENTRY_BYTES = 8;
    /** The most that accuse in one entry. */
    static final int MAX_ACCUSERS = 4;

    private static final int MAX_ENTRY_BYTES = ENTRY_BYTES + 3 + 2 * MAX_ACCUSERS;
    private static final double STEPS_PER_SECOND = 20; // a second
    /**
     * Danger: above the highest there is no room to object, so half of what fits is refused; milliseconds reach it in
     * 6429.
     */
    private static final long MAX_INCARNATION = (1L << 47) - 1;

    private static final MemberState[] STATES = MemberState.values();
    private static final Kind[] KINDS = Kind.values();

    /** What a datagram is for. */
    public enum Kind {
        /** Asks for an {@link #ANSWER} with its number. */
        PING,
        ACK,
        /** Asks the receiver to look at another member, and to answer with the number. */
        PING_REQUEST,
        /** The member that was looked at answered. */
        INDIRECT_ACK,
        /** It has not answered so far. */
        INDIRECT_NACK,
        /** News alone. */
        GOSSIP,
        /** Asks for all that is known of the members from a place on. */
        STATE_REQUEST,
        /** What was asked for. */
        STATE_REPLY,
        /**
         * Sums over stretches of the list, for the receiver to answer with what differs; the number is the list's
         * length.
         */
        CHECKSUMS
    }

    /** Is told what a datagram says; a field at a time, nothing before the whole of it was found sound. */
    public interface Reader {
        void onHeader(Kind kind, int sender, long incarnation, int digest, int number, int subject);

        /** Each stretch's sum, in order. */
        void onChecksums(short[] checksums);

        /**
         * One member, as the sender sees it.
         *
         * @param silent since when, seconds, and {@code accusers}, their places, of a suspect only
         */
        void onEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince);
    }

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    private int entries;

    /** Begins a datagram. */
    Datagram begin(Kind kind, int sender, long incarnation, int digest, int number, int subject) {
        buffer.clear();
        entries = 0;
        buffer.put(VERSION).put((byte) kind.ordinal()).putShort((short) sender);
        putIncarnation(incarnation);
        buffer.putInt(digest).putInt(number).putShort((short) subject).put((byte) 0);
        return this;
    }

    /** Whether one more entry fits, be it the longest. */
    boolean hasRoom() {
        return buffer.remaining() >= MAX_ENTRY_BYTES + CHECKSUM_BYTES && entries < 255;
    }

    /** Adds an entry. Throws IllegalStateException where it does not fit: no datagram is ever longer than allowed. */
    void addEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince) {
        if (!hasRoom()) {
            throw new IllegalStateException("a datagram of " + buffer.position() + " bytes takes no more");
        }
        buffer.putShort((short) (state.ordinal() << 13 | index));
        putIncarnation(incarnation);
        if (state == MemberState.SUSPECT) {
            int count = Math.min(MAX_ACCUSERS, accusers.length);
            buffer.putShort((short) Math.round(silentSince * STEPS_PER_SECOND)).put((byte) count);
            for (int each = 0; each < count; each++) {
                buffer.putShort((short) accusers[each]);
            }
        }
        buffer.put(HEADER_BYTES - 1, (byte) ++entries);
    }

    /** Adds a stretch's sum. */
    void addChecksum(short checksum) {
        buffer.putShort(checksum).put(HEADER_BYTES - 1, (byte) ++entries);
    }

    /** Changes the place that it is about. */
    Datagram subject(int index) {
        buffer.putShort(HEADER_BYTES - 3, (short) index);
        return this;
    }

    /** The whole datagram. */
    byte[] finish() {
        DatagramEnvelope.appendChecksum(buffer);
        byte[] datagram = new byte[buffer.position()];
        buffer.flip();
        buffer.get(datagram);
        return datagram;
    }

    private void putIncarnation(long incarnation) {
        buffer.putShort((short) (incarnation >>> 32)).putInt((int) incarnation);
    }

    /**
     * Reads one datagram. Returns why it can't be used, or null where it could; then, and only then, the reader was
     * told.
     *
     * @param now the clock that all share, seconds
     * @param size how many members are known here: entries of places from there on are passed over
     */
    public static String read(double now, byte[] datagram, int length, int size, Reader reader) {
        String fault = DatagramEnvelope.findFault(datagram, length, VERSION, HEADER_BYTES);
        if (fault != null) {
            return fault;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 0, length);
        in.limit(length - CHECKSUM_BYTES);
        try {
            return read(now, in, size, null) != null ? "form" : read(now, in.rewind(), size, reader);
        } catch (BufferUnderflowException shorter) {
            return "form";
        }
    }

    /** Once without a reader, to find fault, and once with. */
    private static String read(double now, ByteBuffer in, int size, Reader reader) {
        in.get();
        int kind = in.get();
        int sender = in.getShort() & 0xFFFF;
        long incarnation = (in.getShort() & 0xFFFFL) << 32 | (in.getInt() & 0xFFFFFFFFL);
        int digest = in.getInt();
        int number = in.getInt();
        int subject = in.getShort() & 0xFFFF;
        int entries = in.get() & 0xFF;
        if (kind < 0
                || kind >= KINDS.length
                || sender >= MAX_MEMBERS
                || subject >= MAX_MEMBERS
                || incarnation > MAX_INCARNATION) {
            return "form";
        }
        if (reader != null) {
            reader.onHeader(KINDS[kind], sender, incarnation, digest, number, subject);
        }
        if (KINDS[kind] == Kind.CHECKSUMS) {
            short[] checksums = new short[entries];
            for (int each = 0; each < entries; each++) {
                checksums[each] = in.getShort();
            }
            if (reader != null && number == size) {
                reader.onChecksums(checksums);
            }
            return in.hasRemaining() ? "form" : null;
        }
        for (int each = 0; each < entries; each++) {
            int packed = in.getShort() & 0xFFFF;
            int index = packed & MAX_MEMBERS - 1;
            int state = packed >>> 13;
            long entryIncarnation = (in.getShort() & 0xFFFFL) << 32 | (in.getInt() & 0xFFFFFFFFL);
            if (state >= STATES.length || state == 0 || entryIncarnation > MAX_INCARNATION) {
                return "form";
            }
            boolean isSuspect = STATES[state] == MemberState.SUSPECT;
            double silentSince = isSuspect ? nearestTime(now, in.getShort()) : 0;
            int[] accusers = new int[isSuspect ? in.get() & 0xFF : 0];
            if (accusers.length > MAX_ACCUSERS) {
                return "form";
            }
            for (int one = 0; one < accusers.length; one++) {
                accusers[one] = in.getShort() & 0xFFFF;
            }
            // While a longer list of mixers is rolled out, some are told of members that they do not know yet.
            if (reader != null && index < size) {
                reader.onEntry(index, STATES[state], entryIncarnation, accusers, silentSince);
            }
        }
        return in.hasRemaining() ? "form" : null;
    }

    /** The moment nearest to now of which these are the last bits. */
    private static double nearestTime(double now, short bits) {
        long steps = Math.round(now * STEPS_PER_SECOND);
        return (steps + (short) (bits - (short) steps)) / STEPS_PER_SECOND;
    }

    /** As many bits of an incarnation as a datagram carries. */
    static long truncateIncarnation(long incarnation) {
        return incarnation & MAX_INCARNATION;
    }
}
