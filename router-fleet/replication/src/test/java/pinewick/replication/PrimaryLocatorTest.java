package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.PrimaryHint;

/** The age of a hint about the primary that another process sent. */
class PrimaryLocatorTest {
    private static final SocketAddress API = SocketAddress.parse("10.1.0.1:8166");
    private static final EpochNumber EPOCH = new EpochNumber(4, "store-a");
    private static final double START_MS = 1_000;
    private static final double REPLY_DELAY_MS = 300;

    private final ActiveClock clock = new ActiveClock();
    private final PrimaryLocator locator = new PrimaryLocator(clock, new DurableState(null, clock, () -> {}));

    @BeforeEach
    void start() {
        advanceTo(START_MS);
    }

    private void advanceTo(double untilMs) {
        for (double nowMs = 0; nowMs <= untilMs; nowMs += 50) {
            clock.advance(Math.max(nowMs, Double.isNaN(clock.steadyMs()) ? 0 : clock.steadyMs()));
        }
    }

    /** Guards against a fault found by the model: a hint that was sent back and forth over slow links never expired. */
    @Test
    void countsTheAgeOfAHintFromItsRequest() {
        PrimaryHint hint = new PrimaryHint(EPOCH, API, 0);
        double requestSentMs = clock.steadyMs();
        advanceTo(requestSentMs + REPLY_DELAY_MS);
        locator.onHint(hint, requestSentMs);
        assertEquals(REPLY_DELAY_MS, locator.hint().ageMs());
        advanceTo(requestSentMs + PrimaryLocator.HINT_VALID_MS);
        assertEquals(Optional.empty(), locator.operatorApi());
    }

    @Test
    void reportsARecentPrimary() {
        locator.onHint(new PrimaryHint(EPOCH, API, 100), clock.steadyMs());
        assertEquals(Optional.of(API), locator.operatorApi());
    }

    @Test
    void doesNotReportAPrimaryThatDeniedTheRoleSince() {
        locator.onPrimaryNotLeading();
        locator.onHint(new PrimaryHint(EPOCH, API, 100), clock.steadyMs());
        assertEquals(Optional.empty(), locator.operatorApi());
    }

    @Test
    void doesNotReportAPrimaryThatResigned() {
        locator.onResigned(EPOCH);
        advanceTo(START_MS + REPLY_DELAY_MS);
        locator.onHint(new PrimaryHint(EPOCH, API, 0), clock.steadyMs());
        assertEquals(Optional.empty(), locator.operatorApi());
    }
}
