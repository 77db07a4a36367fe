package pinewick.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import pinewick.membership.MembershipMessages.SizeSketch;
import pinewick.model.SocketAddress;

class FleetSizeEstimatorTest {
    private static final int VIEW_SIZE = 30;

    private static NodeDescriptor router(int number) {
        SocketAddress address = new SocketAddress("10.1." + number / 250 + "." + (number % 250 + 1), 7_720);
        return new NodeDescriptor(address, 1, NodeRole.ROUTER, "zone");
    }

    /** Estimators of {@code routers} routers, each of which has merged the bits of all. */
    private static List<FleetSizeEstimator> converged(int routers, double nowMs) {
        List<FleetSizeEstimator> fleet = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            FleetSizeEstimator estimator = new FleetSizeEstimator(router(i), 0);
            estimator.onTick(VIEW_SIZE, true, nowMs);
            fleet.add(estimator);
        }
        exchangeAll(fleet, nowMs);
        return fleet;
    }

    private static void exchangeAll(List<FleetSizeEstimator> fleet, double nowMs) {
        FleetSizeEstimator first = fleet.get(0);
        fleet.forEach(estimator -> first.merge(estimator.sketch(nowMs), nowMs));
        fleet.forEach(estimator -> estimator.merge(first.sketch(nowMs), nowMs));
    }

    @Test
    void theEstimateIsCloseAndTheBoundAboveForEverySize() {
        for (int routers = VIEW_SIZE; routers <= 900; routers++) {
            FleetSizeEstimator estimator = converged(routers, 10_000).get(0);
            assertEquals(routers, estimator.estimate(10_000), 0.12 * routers);
            int bound = estimator.upperBound(10_000);
            assertTrue(bound >= routers && bound <= 1.3 * routers + 5, "bound " + bound + " of " + routers);
        }
    }

    @Test
    void aSmallFleetIsCountedByTheViewAndSendsNoSketch() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(9, false, 20_000);
        assertEquals(9, estimator.estimate(20_000));
        assertEquals(9, estimator.upperBound(20_000));
        assertNull(estimator.sketch(20_000));
    }

    @Test
    void theBoundIsRetainedForAMinute() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(9, false, 20_000);
        estimator.onTick(4, false, 30_000);
        assertEquals(4, estimator.estimate(30_000));
        assertEquals(9, estimator.upperBound(79_000));
        estimator.onTick(4, false, 82_000);
        assertEquals(4, estimator.upperBound(82_000));
    }

    @Test
    void aProcessThatHasJustStartedMultipliesTheBound() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(9, false, 100);
        assertEquals(36, estimator.upperBound(100));
        assertEquals(9, estimator.upperBound(FleetSizeEstimator.STARTUP_MS));
    }

    @Test
    void stoppedRoutersAreNoLongerCountedInLaterEpochs() {
        List<FleetSizeEstimator> fleet = converged(100, 10_000);
        List<FleetSizeEstimator> remaining = new ArrayList<>(fleet.subList(0, 40));
        double nowMs = 10_000;
        for (int epoch = 0; epoch < 3; epoch++) {
            nowMs += FleetSizeEstimator.EPOCH_DURATION_MS;
            for (FleetSizeEstimator estimator : remaining) {
                estimator.onTick(VIEW_SIZE, true, nowMs);
            }
            exchangeAll(remaining, nowMs);
        }
        assertEquals(40, remaining.get(7).estimate(nowMs), 4);
    }

    @Test
    void aProcessThatJoinsAtTheStartOfAnEpochUsesTheCountOfThePreviousOne() {
        FleetSizeEstimator running = converged(200, 10_000).get(0);
        running.onTick(VIEW_SIZE, true, FleetSizeEstimator.EPOCH_DURATION_MS + 1);
        SizeSketch sketch = running.sketch(FleetSizeEstimator.EPOCH_DURATION_MS + 1);
        assertNotNull(sketch);
        FleetSizeEstimator joining = new FleetSizeEstimator(router(500), 0);
        joining.merge(sketch, 10);
        assertEquals(200, joining.estimate(10), 20);
    }

    @Test
    void sketchesOfAnEarlierEpochAndWithTooManyBitsAreIgnored() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(VIEW_SIZE, true, FleetSizeEstimator.EPOCH_DURATION_MS);
        int before = estimator.estimate(FleetSizeEstimator.EPOCH_DURATION_MS);
        byte[] all = new byte[128];
        Arrays.fill(all, (byte) 0xFF);
        estimator.merge(new SizeSketch(0, all, 900), FleetSizeEstimator.EPOCH_DURATION_MS);
        estimator.merge(new SizeSketch(1, new byte[129], 900), FleetSizeEstimator.EPOCH_DURATION_MS);
        assertEquals(before, estimator.estimate(FleetSizeEstimator.EPOCH_DURATION_MS));
    }
}
