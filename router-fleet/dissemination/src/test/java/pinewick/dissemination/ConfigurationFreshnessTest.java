package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** What counts as proof that a configuration was the newest, and for which time. */
class ConfigurationFreshnessTest {
    private static final long VERSION = 5;
    private static final double SENT_MS = 50_000;

    private final ConfigurationFreshness freshness = new ConfigurationFreshness();

    ConfigurationFreshnessTest() {
        freshness.onConfigurationChanged(VERSION);
    }

    private double confirmedAtMs() {
        return freshness.latest().confirmedAtMs();
    }

    @Test
    void nothingIsConfirmedAtFirst() {
        assertFalse(freshness.latest().isKnown());
        assertEquals(ConfigurationFreshness.NEVER, freshness.ageMs(SENT_MS));
        freshness.onReply(VERSION, ConfigurationFreshness.NEVER, SENT_MS);
        assertFalse(freshness.latest().isKnown());
    }

    @Test
    void aReplyCountsFromTheRequestLessItsAge() {
        freshness.onReply(VERSION, 400, SENT_MS);
        assertEquals(new Confirmation(VERSION, SENT_MS - 400), freshness.latest());
    }

    @Test
    void agesAreRoundedUp() {
        freshness.confirm(SENT_MS - 0.25);
        assertEquals(1, freshness.ageMs(SENT_MS));
        assertEquals(0, freshness.ageMs(SENT_MS - 0.25));
        assertEquals(Integer.MAX_VALUE, freshness.ageMs(SENT_MS + 1e12));
    }

    @Test
    void anOlderProofChangesNothing() {
        freshness.onReply(VERSION, 0, SENT_MS);
        freshness.onReply(VERSION, 0, SENT_MS - 900);
        freshness.onReply(VERSION, 700, SENT_MS + 100);
        freshness.confirm(SENT_MS - 1);
        assertEquals(SENT_MS, confirmedAtMs());
    }

    @Test
    void aPeerWithAnOlderVersionConfirms() {
        freshness.onReply(VERSION - 1, 10, SENT_MS);
        assertEquals(SENT_MS - 10, confirmedAtMs());
    }

    @Test
    void aPeerWithAHigherVersionConfirmsOnceThisOneHasIt() {
        freshness.onReply(VERSION + 2, 10, SENT_MS);
        assertFalse(freshness.latest().isKnown());
        freshness.onConfigurationChanged(VERSION + 1);
        assertFalse(freshness.latest().isKnown(), "still a lower one");
        freshness.onConfigurationChanged(VERSION + 2);
        assertEquals(new Confirmation(VERSION + 2, SENT_MS - 10), freshness.latest());
    }

    @Test
    void whatWasConfirmedHoldsForAHigherVersion() {
        freshness.confirm(SENT_MS);
        freshness.onConfigurationChanged(VERSION + 1);
        assertEquals(new Confirmation(VERSION + 1, SENT_MS), freshness.latest());
    }
}
