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
    public static final int MOST = 256;
    /** Places are below this, as three bits of sixteen tell the standing. */
    public static final int PLACES = 1 << 13;

    static final byte VERSION = (byte) 0xF1;
    private static final int HEAD = 21;
    private static final int SUM = DatagramEnvelope.BYTES;
    private static final int ENTRY = 8;
    /** The most that accuse in one entry. */
    static final int ACCUSERS = 4;

    private static final int LONGEST = ENTRY + 3 + 2 * ACCUSERS;
    private static final double STEPS = 20; // a second
    /**
     * Danger: above the highest there is no room to object, so half of what fits is refused; milliseconds reach it in
     * 6429.
     */
    private static final long INCARNATIONS = (1L << 47) - 1;

    private static final MemberState[] STANDINGS = MemberState.values();
    private static final Kind[] KINDS = Kind.values();

    /** What a datagram is for. */
    public enum Kind {
        /** Asks for an {@link #ANSWER} with its number. */
        PING,
        ANSWER,
        /** Asks the receiver to look at another member, and to answer with the number. */
        LOOK,
        /** The member that was looked at answered. */
        SEEN,
        /** It has not answered so far. */
        NOT_SEEN,
        /** News alone. */
        NEWS,
        /** Asks for all that is known of the members from a place on. */
        ASK,
        /** What was asked for. */
        STATE,
        /**
         * Sums over stretches of the list, for the receiver to answer with what differs; the number is the list's
         * length.
         */
        SUMS
    }

    /** Is told what a datagram says; a field at a time, nothing before the whole of it was found sound. */
    public interface Reader {
        void said(Kind kind, int sender, long incarnation, int digest, int number, int about);

        /** Each stretch's sum, in order. */
        void sums(short[] sums);

        /**
         * One member, as the sender sees it.
         *
         * @param silent since when, seconds, and {@code accusers}, their places, of a suspect only
         */
        void entry(int place, MemberState standing, long incarnation, int[] accusers, double silent);
    }

    private final ByteBuffer buffer = ByteBuffer.allocate(MOST);
    private int entries;

    /** Begins a datagram. */
    Datagram begin(Kind kind, int sender, long incarnation, int digest, int number, int about) {
        buffer.clear();
        entries = 0;
        buffer.put(VERSION).put((byte) kind.ordinal()).putShort((short) sender);
        number(incarnation);
        buffer.putInt(digest).putInt(number).putShort((short) about).put((byte) 0);
        return this;
    }

    /** Whether one more entry fits, be it the longest. */
    boolean hasRoom() {
        return buffer.remaining() >= LONGEST + SUM && entries < 255;
    }

    /** Adds an entry. Throws IllegalStateException where it does not fit: no datagram is ever longer than allowed. */
    void entry(int place, MemberState standing, long incarnation, int[] accusers, double silent) {
        if (!hasRoom()) {
            throw new IllegalStateException("a datagram of " + buffer.position() + " bytes takes no more");
        }
        buffer.putShort((short) (standing.ordinal() << 13 | place));
        number(incarnation);
        if (standing == MemberState.SUSPECT) {
            int count = Math.min(ACCUSERS, accusers.length);
            buffer.putShort((short) Math.round(silent * STEPS)).put((byte) count);
            for (int each = 0; each < count; each++) {
                buffer.putShort((short) accusers[each]);
            }
        }
        buffer.put(HEAD - 1, (byte) ++entries);
    }

    /** Adds a stretch's sum. */
    void sum(short sum) {
        buffer.putShort(sum).put(HEAD - 1, (byte) ++entries);
    }

    /** Changes the place that it is about. */
    Datagram about(int place) {
        buffer.putShort(HEAD - 3, (short) place);
        return this;
    }

    /** The whole datagram. */
    byte[] end() {
        DatagramEnvelope.put(buffer);
        byte[] whole = new byte[buffer.position()];
        buffer.flip();
        buffer.get(whole);
        return whole;
    }

    private void number(long incarnation) {
        buffer.putShort((short) (incarnation >>> 32)).putInt((int) incarnation);
    }

    /**
     * Reads one datagram. Returns why it can't be used, or null where it could; then, and only then, the reader was
     * told.
     *
     * @param now the clock that all share, seconds
     * @param size how many members are known here: entries of places from there on are passed over
     */
    public static String read(double now, byte[] whole, int length, int size, Reader reader) {
        String fault = DatagramEnvelope.fault(whole, length, VERSION, HEAD);
        if (fault != null) {
            return fault;
        }
        ByteBuffer in = ByteBuffer.wrap(whole, 0, length);
        in.limit(length - SUM);
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
        int about = in.getShort() & 0xFFFF;
        int entries = in.get() & 0xFF;
        if (kind < 0 || kind >= KINDS.length || sender >= PLACES || about >= PLACES || incarnation > INCARNATIONS) {
            return "form";
        }
        if (reader != null) {
            reader.said(KINDS[kind], sender, incarnation, digest, number, about);
        }
        if (KINDS[kind] == Kind.SUMS) {
            short[] sums = new short[entries];
            for (int each = 0; each < entries; each++) {
                sums[each] = in.getShort();
            }
            if (reader != null && number == size) {
                reader.sums(sums);
            }
            return in.hasRemaining() ? "form" : null;
        }
        for (int each = 0; each < entries; each++) {
            int head = in.getShort() & 0xFFFF;
            int place = head & PLACES - 1;
            int standing = head >>> 13;
            long at = (in.getShort() & 0xFFFFL) << 32 | (in.getInt() & 0xFFFFFFFFL);
            if (standing >= STANDINGS.length || standing == 0 || at > INCARNATIONS) {
                return "form";
            }
            boolean suspect = STANDINGS[standing] == MemberState.SUSPECT;
            double silent = suspect ? since(now, in.getShort()) : 0;
            int[] accusers = new int[suspect ? in.get() & 0xFF : 0];
            if (accusers.length > ACCUSERS) {
                return "form";
            }
            for (int one = 0; one < accusers.length; one++) {
                accusers[one] = in.getShort() & 0xFFFF;
            }
            // While a longer list of mixers is rolled out, some are told of members that they do not know yet.
            if (reader != null && place < size) {
                reader.entry(place, STANDINGS[standing], at, accusers, silent);
            }
        }
        return in.hasRemaining() ? "form" : null;
    }

    /** The moment nearest to now of which these are the last bits. */
    private static double since(double now, short bits) {
        long steps = Math.round(now * STEPS);
        return (steps + (short) (bits - (short) steps)) / STEPS;
    }

    /** As many bits of an incarnation as a datagram carries. */
    static long bounded(long incarnation) {
        return incarnation & INCARNATIONS;
    }
}
