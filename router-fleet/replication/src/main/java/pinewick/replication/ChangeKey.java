package pinewick.replication;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies an accepted change, so that it is recognised when an operator submits it again.
 *
 * @param baseVersion the configuration version that it is based on
 * @param version the configuration version that it leads to
 * @param digest SHA-256 of its kind and body, hexadecimal
 */
public record ChangeKey(long baseVersion, long version, String digest) {
    /** Digest of a change's kind and body. */
    static String digestOf(ConfigurationChange change) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update((byte) change.kind().ordinal());
            return HexFormat.of().formatHex(sha256.digest(change.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
