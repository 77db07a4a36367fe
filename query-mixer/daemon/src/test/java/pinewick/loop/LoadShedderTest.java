package pinewick.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A process that becomes overloaded, in virtual time. */
class LoadShedderTest {
    private static final double GOAL = 0.4;

    private static LoadShedder loadShedder() {
        return new LoadShedder(0.05 * GOAL, 0.5, 0.5 * GOAL, 3, new SplittableRandom(7));
    }

    private static double rejectedShare(LoadShedder loadShedder, double now, double value) {
        int rejected = 0;
        for (int each = 0; each < 2000; each++) {
            rejected += loadShedder.shouldReject(now, value) ? 1 : 0;
        }
        return rejected / 2000.0;
    }

    @Test
    void aSinglePauseRejectsNothing() {
        LoadShedder loadShedder = loadShedder();
        for (int each = 0; each < 1000; each++) {
            loadShedder.recordBatch(each * 0.01, each * 0.01 + 0.0005);
        }
        loadShedder.recordBatch(10, 10.09);
        assertEquals(0, rejectedShare(loadShedder, 10.09, 1));
    }

    @Test
    void theFirstBatchIsNotAnOverload() {
        LoadShedder loadShedder = loadShedder();
        loadShedder.recordBatch(5, 5.1);
        assertEquals(0, rejectedShare(loadShedder, 5.1, 1));
    }

    @Test
    void consecutiveLongBatchesRejectMostButNeverAll() {
        LoadShedder loadShedder = loadShedder();
        for (int each = 0; each < 40; each++) {
            loadShedder.recordBatch(each * 0.2, each * 0.2 + 0.2);
        }
        assertEquals(0.1, loadShedder.expectedWait(8), 0.03);
        double rejected = rejectedShare(loadShedder, 8, 0);
        assertTrue(rejected > 0.85 && rejected < 0.94, "rejected " + rejected);
        assertEquals(rejected / 2, rejectedShare(loadShedder, 8, 3), 0.05);
    }

    @Test
    void aTimeSlicedCoreCountsAsOverloaded() {
        // Batches of 2 ms of work, each interrupted by the operating system for 50 ms.
        LoadShedder loadShedder = loadShedder();
        for (int each = 0; each < 100; each++) {
            loadShedder.recordBatch(each * 0.1, each * 0.1 + 0.098);
        }
        assertTrue(rejectedShare(loadShedder, 10, 0) > 0.3);
    }

    @Test
    void rejectionEndsWithTheLoad() {
        LoadShedder loadShedder = loadShedder();
        for (int each = 0; each < 40; each++) {
            loadShedder.recordBatch(each * 0.2, each * 0.2 + 0.2);
        }
        for (int each = 0; each < 150; each++) {
            loadShedder.recordBatch(8 + each * 0.01, 8 + each * 0.01 + 0.001);
        }
        assertEquals(0, rejectedShare(loadShedder, 9.5, 0));
        LoadShedder silent = loadShedder();
        silent.recordBatch(0, 2);
        assertEquals(0, rejectedShare(silent, 4, 0));
    }

    @Test
    void retryAdviceIsSpread() {
        LoadShedder loadShedder = loadShedder();
        double least = 9;
        double most = 0;
        for (int each = 0; each < 1000; each++) {
            double wait = loadShedder.retryAfterSeconds();
            least = Math.min(least, wait);
            most = Math.max(most, wait);
        }
        assertTrue(least >= 0.25 * GOAL && most <= 0.75 * GOAL && most - least > 0.4 * GOAL);
    }

    /**
     * Simulates a router that can serve 500 queries a second; each wake-up handles all queries that arrived since the
     * last one. A query counts as served if it was begun within its goal; one begun later still costs its work.
     */
    private static double servedPerSecond(double offeredPerSecond, boolean withShedding) {
        LoadShedder loadShedder = loadShedder();
        SplittableRandom chance = new SplittableRandom(11);
        ArrayDeque<Double> queue = new ArrayDeque<>();
        double next = 0;
        double now = 0;
        int served = 0;
        while (now < 20) {
            while (next <= now) {
                queue.add(next);
                next -= Math.log(1 - chance.nextDouble()) / offeredPerSecond;
            }
            if (queue.isEmpty()) {
                now = next;
                continue;
            }
            double began = now;
            for (int left = queue.size(); left > 0; left--) {
                double at = queue.poll();
                if (withShedding && loadShedder.shouldReject(began, 1)) {
                    now += 0.0001;
                } else {
                    now += 0.002;
                    served += now - at <= GOAL ? 1 : 0;
                }
            }
            loadShedder.recordBatch(began, now);
        }
        return served / 20.0;
    }

    @Test
    void threefoldOverloadKeepsMostOfTheThroughput() {
        double calm = servedPerSecond(300, true);
        assertEquals(300, calm, 15);
        double without = servedPerSecond(1500, false);
        double with = servedPerSecond(1500, true);
        assertTrue(without < 60, "without shedding " + without);
        assertTrue(with > 300, "with shedding " + with);
    }
}
