package pinewick.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 16 bytes of the SHA-256 digest of an API key. Keys are compared and stored in this form only, so that no
 * log line, fault or memory dump of a typed object discloses one.
 *
 * @param high the first 8 bytes of the digest
 * @param low the following 8 bytes
 */
public record ApiKeyDigest(long high, long low) {
    private static final String ALGORITHM = "SHA-256";
    /** Bits of {@link #high} that {@link #fingerprint} leaves out. */
    private static final int BITS_BEYOND_FINGERPRINT = Long.SIZE - Integer.SIZE;

    /** The digest of a key. */
    public static ApiKeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new ApiKeyDigest(digest.getLong(), digest.getLong());
    }

    /** The first 8 hexadecimal digits, by which operators and logs name a key. */
    public String fingerprint() {
        return String.format("%08x", high >>> BITS_BEYOND_FINGERPRINT);
    }

    @Override
    public String toString() {
        return fingerprint();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
        }
    }
}
