package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.PrimaryHint;

/** How old a sighting is that came by way of another process. */
class PrimaryLocatorTest {
    private static final SocketAddress API = SocketAddress.parse("10.1.0.1:8166");
    private static final EpochNumber EPOCH = new EpochNumber(4, "store-a");
    private static final double START_MS = 1_000;
    private static final double SLOW_MS = 300;

    private final ActiveClock clock = new ActiveClock();
    private final PrimaryLocator known = new PrimaryLocator(clock, new DurableState(null, clock, () -> {}));

    @BeforeEach
    void run() {
        passUntil(START_MS);
    }

    private void passUntil(double untilMs) {
        for (double nowMs = 0; nowMs <= untilMs; nowMs += 50) {
            clock.advance(Math.max(nowMs, Double.isNaN(clock.steadyMs()) ? 0 : clock.steadyMs()));
        }
    }

    /** The model's finding: told to and fro over slow links, a sighting stayed young for ever. */
    @Test
    void theTimeInTransitMakesTheHintNoYounger() {
        PrimaryHint sighting = new PrimaryHint(EPOCH, API, 0);
        double askedMs = clock.steadyMs();
        passUntil(askedMs + SLOW_MS);
        known.onHint(sighting, askedMs);
        assertEquals(SLOW_MS, known.hint().ageMs());
        passUntil(askedMs + PrimaryLocator.HINT_VALID_MS);
        assertEquals(Optional.empty(), known.operatorApi());
    }

    @Test
    void aRecentPrimaryIsNamed() {
        known.onHint(new PrimaryHint(EPOCH, API, 100), clock.steadyMs());
        assertEquals(Optional.of(API), known.operatorApi());
    }

    @Test
    void aPrimaryThatDeniedSinceIsNotNamed() {
        known.onPrimaryNotLeading();
        known.onHint(new PrimaryHint(EPOCH, API, 100), clock.steadyMs());
        assertEquals(Optional.empty(), known.operatorApi());
    }

    @Test
    void aPrimaryThatResignedIsNotNamed() {
        known.onResigned(EPOCH);
        passUntil(START_MS + SLOW_MS);
        known.onHint(new PrimaryHint(EPOCH, API, 0), clock.steadyMs());
        assertEquals(Optional.empty(), known.operatorApi());
    }
}
