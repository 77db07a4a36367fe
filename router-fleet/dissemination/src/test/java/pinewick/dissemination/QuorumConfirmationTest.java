package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.Digest;

/** Which digests confirm that a configuration is the newest. */
class QuorumConfirmationTest {
    private static final double START_MS = 50_000;
    private static final long VERSION = 5;

    private final QuorumConfirmation confirmation = new QuorumConfirmation();

    @BeforeEach
    void start() {
        confirmation.advance(START_MS);
    }

    private static Digest digest(long version, int confirmedAgeMs) {
        return new Digest(version, 0, 0, true, confirmedAgeMs);
    }

    @Test
    void nothingIsConfirmedAtFirst() {
        assertFalse(confirmation.isConfirmedSinceStart());
        assertEquals(QuorumConfirmation.NEVER, confirmation.ageMs(START_MS + 1_000));
        confirmation.onDigestReply(digest(VERSION, QuorumConfirmation.NEVER), VERSION, START_MS + 1_000);
        assertFalse(confirmation.isConfirmedSinceStart());
    }

    @Test
    void aResponseCountsFromTheRequestTimeLessItsAge() {
        confirmation.onDigestReply(digest(VERSION, 400), VERSION, START_MS + 300);
        assertFalse(confirmation.isConfirmedSinceStart(), "from before the start");
        assertEquals(1_100, confirmation.ageMs(START_MS + 1_000));
        confirmation.onDigestReply(digest(VERSION, 400), VERSION, START_MS + 500);
        assertTrue(confirmation.isConfirmedSinceStart());
        assertEquals(900, confirmation.ageMs(START_MS + 1_000));
    }

    @Test
    void aNewerVersionOfThePeerConfirmsNothing() {
        confirmation.onDigestReply(digest(VERSION + 1, 0), VERSION, START_MS + 500);
        assertFalse(confirmation.isConfirmedSinceStart());
    }

    @Test
    void aPeerWithAnOlderVersionConfirms() {
        confirmation.onDigestReply(digest(VERSION - 1, 0), VERSION, START_MS + 500);
        assertTrue(confirmation.isConfirmedSinceStart());
    }

    @Test
    void aResponseQueuedDuringAProcessPauseDoesNotCount() {
        confirmation.advance(START_MS + 20_000);
        confirmation.onUnsolicitedDigest(digest(VERSION, 0), VERSION, START_MS + 20_000);
        confirmation.advance(START_MS + 20_500);
        confirmation.onUnsolicitedDigest(digest(VERSION, 0), VERSION, START_MS + 20_500);
        confirmation.confirmLocally(START_MS + 20_500);
        assertFalse(confirmation.isConfirmedSinceStart());
        confirmation.advance(START_MS + 21_000);
        confirmation.onUnsolicitedDigest(digest(VERSION, 0), VERSION, START_MS + 21_000);
        assertTrue(confirmation.isConfirmedSinceStart());
    }
}
