package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.Digest;

/** Tests which digests confirm that a configuration is the newest. */
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
    void startsUnconfirmed() {
        assertFalse(confirmation.isConfirmedSinceStart());
        assertEquals(QuorumConfirmation.NEVER, confirmation.ageMs(START_MS + 1_000));
        confirmation.onDigestReply(digest(VERSION, QuorumConfirmation.NEVER), VERSION, START_MS + 1_000);
        assertFalse(confirmation.isConfirmedSinceStart());
    }

    @Test
    void confirmsAsOfRequestTimeMinusReportedAge() {
        confirmation.onDigestReply(digest(VERSION, 400), VERSION, START_MS + 300);
        assertFalse(confirmation.isConfirmedSinceStart(), "confirmed as of a time before the start");
        assertEquals(1_100, confirmation.ageMs(START_MS + 1_000));
        confirmation.onDigestReply(digest(VERSION, 400), VERSION, START_MS + 500);
        assertTrue(confirmation.isConfirmedSinceStart());
        assertEquals(900, confirmation.ageMs(START_MS + 1_000));
    }

    @Test
    void digestWithNewerVersionDoesNotConfirm() {
        confirmation.onDigestReply(digest(VERSION + 1, 0), VERSION, START_MS + 500);
        assertFalse(confirmation.isConfirmedSinceStart());
    }

    @Test
    void digestWithOlderVersionConfirms() {
        confirmation.onDigestReply(digest(VERSION - 1, 0), VERSION, START_MS + 500);
        assertTrue(confirmation.isConfirmedSinceStart());
    }

    @Test
    void ignoresDigestsQueuedDuringAProcessPause() {
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
