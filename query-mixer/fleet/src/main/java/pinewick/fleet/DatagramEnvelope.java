package pinewick.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** What every datagram between mixers has: a version in its first byte, a CRC-32 of all before in its last four. */
public final class DatagramEnvelope {
    /** Bytes of the sum. */
    public static final int CHECKSUM_BYTES = 4;

    private DatagramEnvelope() {}

    /** Ends what was written so far with its sum. */
    public static void appendChecksum(ByteBuffer out) {
        out.putInt(checksum(out.array(), out.position()));
    }

    /** Why these bytes are no whole datagram of this version and least length; null where they are one. */
    public static String findFault(byte[] datagram, int length, byte version, int minLength) {
        if (length < minLength + CHECKSUM_BYTES || length > Datagram.MAX_BYTES) {
            return "length";
        }
        if (datagram[0] != version) {
            return "version";
        }
        return ByteBuffer.wrap(datagram).getInt(length - CHECKSUM_BYTES) == checksum(datagram, length - CHECKSUM_BYTES)
                ? null
                : "checksum";
    }

    private static int checksum(byte[] datagram, int length) {
        CRC32 checksum = new CRC32();
        checksum.update(datagram, 0, length);
        return (int) checksum.getValue();
    }
}
