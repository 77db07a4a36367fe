package pinewick.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Encodes and decodes the membership datagrams between routers. A datagram never exceeds {@link #MAX_BYTES}, the
 * platform's limit; numbers are big-endian.
 *
 * <pre>
 * byte  version, 0xF1
 * byte  kind
 * 2     index of the sender
 * 6     incarnation of the sender
 * 4     digest of the sender's view
 * 4     number: sequence number of a probe, echoed by its answers; or the first index of a state reply or request
 * 2     index of the member that the datagram is about
 * byte  number of entries that follow, in CHECKSUMS the number of 2-byte checksums; then for each entry:
 *   2     member index, with the state in the three highest bits
 *   6     incarnation
 *   2, 1 for a suspect only: the low bits of the time since which it is silent, in twentieths of a second since 1970;
 *         number of accusers
 *   2     for a suspect only, for each accuser: its index
 * 4     CRC-32 of all preceding bytes
 * </pre>
 */
public final class Datagram {
    /** Maximum length in bytes; the platform declares a run with a longer datagram invalid. */
    public static final int MAX_BYTES = 256;
    /** Member indexes are below this, as three of sixteen bits hold the state. */
    public static final int MAX_MEMBERS = 1 << 13;

    static final byte VERSION = (byte) 0xF1;
    private static final int HEADER_BYTES = 21;
    private static final int CHECKSUM_BYTES = DatagramEnvelope.CHECKSUM_BYTES;
    private static final int ENTRY_BYTES = 8;
    /** Maximum number of accusers in one entry. */
    static final int MAX_ACCUSERS = 4;

    private static final int MAX_ENTRY_BYTES = ENTRY_BYTES + 3 + 2 * MAX_ACCUSERS;
    private static final double STEPS_PER_SECOND = 20;
    /**
     * Incarnations above this are rejected. A member that is accused at the highest encodable incarnation could
     * not refute, so half of the encodable range stays free. Milliseconds since 1970 reach this limit in the year
     * 6429.
     */
    private static final long MAX_INCARNATION = (1L << 47) - 1;

    private static final MemberState[] STATES = MemberState.values();
    private static final Kind[] KINDS = Kind.values();

    /** Kind of a datagram. The order of the values is part of the wire format. */
    public enum Kind {
        /** Requests an {@link #ACK} with its number. */
        PING,
        ACK,
        /** Asks the receiver to probe another member and to answer with the number (ping-req in SWIM). */
        PING_REQUEST,
        /** The member that was probed indirectly has answered. */
        INDIRECT_ACK,
        /** The member that was probed indirectly has not answered so far. */
        INDIRECT_NACK,
        /** Carries gossip only. */
        GOSSIP,
        /** Requests the states of all members from an index on. */
        STATE_REQUEST,
        /** One part of the states that were requested. */
        STATE_REPLY,
        /**
         * Checksums over ranges of the member list; the receiver answers with the entries of ranges that differ.
         * The number is the length of the list.
         */
        CHECKSUMS
    }

    /** Receives the decoded fields of a datagram. Nothing is passed on before the whole datagram was validated. */
    public interface Reader {
        /** The header of the datagram; called first. */
        void onHeader(Kind kind, int sender, long incarnation, int digest, int number, int subject);

        /** The checksum of each range of the member list, in order. */
        void onChecksums(short[] checksums);

        /**
         * One member as the sender sees it.
         *
         * @param accusers indexes of the accusers; empty unless the member is suspect
         * @param silentSince seconds since 1970 since which a suspect is silent; 0 otherwise
         */
        void onEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince);
    }

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    private int entries;

    /** Starts a new datagram and discards the previous one. */
    Datagram begin(Kind kind, int sender, long incarnation, int digest, int number, int subject) {
        buffer.clear();
        entries = 0;
        buffer.put(VERSION).put((byte) kind.ordinal()).putShort((short) sender);
        putIncarnation(incarnation);
        buffer.putInt(digest).putInt(number).putShort((short) subject).put((byte) 0);
        return this;
    }

    /** Whether one more entry of the maximum length fits. */
    boolean hasRoom() {
        return buffer.remaining() >= MAX_ENTRY_BYTES + CHECKSUM_BYTES && entries < 255;
    }

    /** Adds an entry. Throws IllegalStateException if it might not fit, so that no datagram exceeds the limit. */
    void addEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince) {
        if (!hasRoom()) {
            throw new IllegalStateException(
                    "datagram of " + buffer.position() + " bytes has no room for another entry");
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

    /** Adds the checksum of one range. */
    void addChecksum(short checksum) {
        buffer.putShort(checksum).put(HEADER_BYTES - 1, (byte) ++entries);
    }

    /** Replaces the index of the member that the datagram is about. */
    Datagram subject(int index) {
        buffer.putShort(HEADER_BYTES - 3, (short) index);
        return this;
    }

    /** Appends the checksum and returns the complete datagram. */
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
     * Decodes one datagram. Returns the reason why it is invalid, or null if it is valid; the reader is called
     * only for a valid datagram.
     *
     * @param now seconds since 1970 on the clock that all members share
     * @param size number of members known here; entries with a higher index are ignored
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

    /** Called first with a null reader to validate, then with the reader. */
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
            // While a longer member list is rolled out, entries may name members that are not known here yet.
            if (reader != null && index < size) {
                reader.onEntry(index, STATES[state], entryIncarnation, accusers, silentSince);
            }
        }
        return in.hasRemaining() ? "form" : null;
    }

    /** Returns the time nearest to now whose low bits are the given ones, in seconds. */
    private static double nearestTime(double now, short bits) {
        long steps = Math.round(now * STEPS_PER_SECOND);
        return (steps + (short) (bits - (short) steps)) / STEPS_PER_SECOND;
    }

    /** Returns the bits of an incarnation that fit into a datagram. */
    static long truncateIncarnation(long incarnation) {
        return incarnation & MAX_INCARNATION;
    }
}
