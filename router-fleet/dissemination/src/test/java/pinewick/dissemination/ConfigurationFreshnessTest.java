package pinewick.dissemination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Tests what proves that a configuration was the newest, and as of which time. */
class ConfigurationFreshnessTest {
    private static final long VERSION = 5;
    private static final double REQUEST_SENT_MS = 50_000;

    private final ConfigurationFreshness freshness = new ConfigurationFreshness();

    ConfigurationFreshnessTest() {
        freshness.onConfigurationChanged(VERSION);
    }

    private double confirmedAtMs() {
        return freshness.latest().confirmedAtMs();
    }

    @Test
    void startsUnconfirmed() {
        assertFalse(freshness.latest().isKnown());
        assertEquals(ConfigurationFreshness.NEVER, freshness.ageMs(REQUEST_SENT_MS));
        freshness.onReply(VERSION, ConfigurationFreshness.NEVER, REQUEST_SENT_MS);
        assertFalse(freshness.latest().isKnown());
    }

    @Test
    void confirmsAsOfRequestTimeMinusReportedAge() {
        freshness.onReply(VERSION, 400, REQUEST_SENT_MS);
        assertEquals(new Confirmation(VERSION, REQUEST_SENT_MS - 400), freshness.latest());
    }

    @Test
    void roundsAgesUp() {
        freshness.confirm(REQUEST_SENT_MS - 0.25);
        assertEquals(1, freshness.ageMs(REQUEST_SENT_MS));
        assertEquals(0, freshness.ageMs(REQUEST_SENT_MS - 0.25));
        assertEquals(Integer.MAX_VALUE, freshness.ageMs(REQUEST_SENT_MS + 1e12));
    }

    @Test
    void ignoresOlderProofs() {
        freshness.onReply(VERSION, 0, REQUEST_SENT_MS);
        freshness.onReply(VERSION, 0, REQUEST_SENT_MS - 900);
        freshness.onReply(VERSION, 700, REQUEST_SENT_MS + 100);
        freshness.confirm(REQUEST_SENT_MS - 1);
        assertEquals(REQUEST_SENT_MS, confirmedAtMs());
    }

    @Test
    void replyWithOlderVersionConfirms() {
        freshness.onReply(VERSION - 1, 10, REQUEST_SENT_MS);
        assertEquals(REQUEST_SENT_MS - 10, confirmedAtMs());
    }

    @Test
    void replyWithHigherVersionConfirmsOnceThatVersionIsInstalled() {
        freshness.onReply(VERSION + 2, 10, REQUEST_SENT_MS);
        assertFalse(freshness.latest().isKnown());
        freshness.onConfigurationChanged(VERSION + 1);
        assertFalse(freshness.latest().isKnown(), "the installed version is still lower");
        freshness.onConfigurationChanged(VERSION + 2);
        assertEquals(new Confirmation(VERSION + 2, REQUEST_SENT_MS - 10), freshness.latest());
    }

    @Test
    void confirmationCarriesOverToAHigherVersion() {
        freshness.confirm(REQUEST_SENT_MS);
        freshness.onConfigurationChanged(VERSION + 1);
        assertEquals(new Confirmation(VERSION + 1, REQUEST_SENT_MS), freshness.latest());
    }
}
