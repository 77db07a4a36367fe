package pinewick.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** What every datagram between mixers has: a version in its first byte, a CRC-32 of all before in its last four. */
public final class DatagramEnvelope {
    /** Bytes of the sum. */
    public static final int BYTES = 4;

    private DatagramEnvelope() {}

    /** Ends what was written so far with its sum. */
    public static void put(ByteBuffer out) {
        out.putInt(sum(out.array(), out.position()));
    }

    /** Why these bytes are no whole datagram of this version and least length; null where they are one. */
    public static String fault(byte[] whole, int length, byte version, int least) {
        if (length < least + BYTES || length > Datagram.MOST) {
            return "length";
        }
        if (whole[0] != version) {
            return "version";
        }
        return ByteBuffer.wrap(whole).getInt(length - BYTES) == sum(whole, length - BYTES) ? null : "checksum";
    }

    private static int sum(byte[] whole, int length) {
        CRC32 sum = new CRC32();
        sum.update(whole, 0, length);
        return (int) sum.getValue();
    }
}
