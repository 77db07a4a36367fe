package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class ApiKeyDigestTest {
    /** Example from FIPS 180-2: the SHA-256 digest of "abc" starts with these bytes. */
    @Test
    void containsTheFirstBytesOfTheSha256Digest() {
        assertEquals(new ApiKeyDigest(0xba7816bf8f01cfeaL, 0x414140de5dae2223L), ApiKeyDigest.of("abc"));
    }

    @Test
    void isEqualOnlyForEqualKeys() {
        assertEquals(ApiKeyDigest.of("k\u00e9y-1"), ApiKeyDigest.of("k\u00e9y-1"));
        assertNotEquals(ApiKeyDigest.of("key-1"), ApiKeyDigest.of("key-2"));
        assertNotEquals(ApiKeyDigest.of("key-1"), ApiKeyDigest.of("KEY-1"));
    }

    @Test
    void printsOnlyTheFingerprint() {
        assertEquals("ba7816bf", ApiKeyDigest.of("abc").fingerprint());
        assertEquals("ba7816bf", ApiKeyDigest.of("abc").toString());
        assertEquals("0000000f", new ApiKeyDigest(0xf00000000L, 1).fingerprint());
    }
}
