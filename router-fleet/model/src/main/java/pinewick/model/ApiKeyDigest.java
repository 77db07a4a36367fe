package pinewick.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 16 bytes of the SHA-256 digest of an API key. Keys are stored and compared only in this form, so that
 * log lines, faults and memory dumps of typed objects never disclose a key.
 *
 * @param high the first 8 bytes of the digest
 * @param low the following 8 bytes
 */
public record ApiKeyDigest(long high, long low) {
    private static final String ALGORITHM = "SHA-256";
    /** Low bits of {@link #high} that are not part of {@link #fingerprint}. */
    private static final int BITS_OUTSIDE_FINGERPRINT = Long.SIZE - Integer.SIZE;

    /** Computes the digest of a key. */
    public static ApiKeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new ApiKeyDigest(digest.getLong(), digest.getLong());
    }

    /** The first 8 hexadecimal digits, by which operators and logs identify a key. */
    public String fingerprint() {
        return String.format("%08x", high >>> BITS_OUTSIDE_FINGERPRINT);
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
