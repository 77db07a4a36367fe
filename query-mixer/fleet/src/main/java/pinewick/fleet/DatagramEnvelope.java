package pinewick.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Frame that all datagrams between routers share: a version in the first byte and, in the last four bytes, a CRC-32
 * of all preceding bytes.
 */
public final class DatagramEnvelope {
    /** Length of the checksum in bytes. */
    public static final int CHECKSUM_BYTES = 4;

    private DatagramEnvelope() {}

    /** Appends the checksum of all bytes written so far. */
    public static void appendChecksum(ByteBuffer out) {
        out.putInt(checksum(out.array(), out.position()));
    }

    /**
     * Returns the reason why these bytes are not a valid datagram of this version and minimum length; null if they
     * are.
     */
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
