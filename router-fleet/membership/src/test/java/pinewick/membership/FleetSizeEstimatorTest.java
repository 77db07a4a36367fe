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
    private static final int VIEW = 30;

    private static NodeDescriptor router(int number) {
        SocketAddress address = new SocketAddress("10.1." + number / 250 + "." + (number % 250 + 1), 7_720);
        return new NodeDescriptor(address, 1, NodeRole.ROUTER, "zone");
    }

    /** Estimators of so many routers, each of which has seen the bits of all. */
    private static List<FleetSizeEstimator> converged(int routers, double nowMs) {
        List<FleetSizeEstimator> fleet = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            FleetSizeEstimator estimator = new FleetSizeEstimator(router(i), 0);
            estimator.onTick(VIEW, true, nowMs);
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
        for (int routers = VIEW; routers <= 900; routers++) {
            FleetSizeEstimator estimator = converged(routers, 10_000).get(0);
            assertEquals(routers, estimator.estimate(10_000), 0.12 * routers);
            int bound = estimator.upperBound(10_000);
            assertTrue(bound >= routers && bound <= 1.3 * routers + 5, "bound " + bound + " of " + routers);
        }
    }

    @Test
    void aSmallFleetIsCountedByTheViewAndSendsNoBits() {
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
    void aYoungProcessRequestsTheBoundSeveralTimes() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(9, false, 100);
        assertEquals(36, estimator.upperBound(100));
        assertEquals(9, estimator.upperBound(FleetSizeEstimator.STARTUP_MS));
    }

    @Test
    void stoppedRoutersLeaveTheEstimateWithTheEpochs() {
        List<FleetSizeEstimator> fleet = converged(100, 10_000);
        List<FleetSizeEstimator> left = new ArrayList<>(fleet.subList(0, 40));
        double nowMs = 10_000;
        for (int epoch = 0; epoch < 3; epoch++) {
            nowMs += FleetSizeEstimator.EPOCH_DURATION_MS;
            for (FleetSizeEstimator estimator : left) {
                estimator.onTick(VIEW, true, nowMs);
            }
            exchangeAll(left, nowMs);
        }
        assertEquals(40, left.get(7).estimate(nowMs), 4);
    }

    @Test
    void oneThatJoinsAtTheStartOfAnEpochTakesTheCountBefore() {
        FleetSizeEstimator old = converged(200, 10_000).get(0);
        old.onTick(VIEW, true, FleetSizeEstimator.EPOCH_DURATION_MS + 1);
        SizeSketch sketch = old.sketch(FleetSizeEstimator.EPOCH_DURATION_MS + 1);
        assertNotNull(sketch);
        FleetSizeEstimator fresh = new FleetSizeEstimator(router(500), 0);
        fresh.merge(sketch, 10);
        assertEquals(200, fresh.estimate(10), 20);
    }

    @Test
    void bitsOfAnEarlierEpochAndOfAnotherLengthAreIgnored() {
        FleetSizeEstimator estimator = new FleetSizeEstimator(router(0), 0);
        estimator.onTick(VIEW, true, FleetSizeEstimator.EPOCH_DURATION_MS);
        int before = estimator.estimate(FleetSizeEstimator.EPOCH_DURATION_MS);
        byte[] all = new byte[128];
        Arrays.fill(all, (byte) 0xFF);
        estimator.merge(new SizeSketch(0, all, 900), FleetSizeEstimator.EPOCH_DURATION_MS);
        estimator.merge(new SizeSketch(1, new byte[129], 900), FleetSizeEstimator.EPOCH_DURATION_MS);
        assertEquals(before, estimator.estimate(FleetSizeEstimator.EPOCH_DURATION_MS));
    }
}
