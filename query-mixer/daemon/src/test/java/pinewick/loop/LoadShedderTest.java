package pinewick.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Stories of a process that falls behind, in virtual time. */
class LoadShedderTest {
    private static final double GOAL = 0.4;

    private static LoadShedder pressure() {
        return new LoadShedder(0.05 * GOAL, 0.5, 0.5 * GOAL, 3, new SplittableRandom(7));
    }

    private static double turnedAway(LoadShedder pressure, double now, double value) {
        int away = 0;
        for (int each = 0; each < 2000; each++) {
            away += pressure.shouldReject(now, value) ? 1 : 0;
        }
        return away / 2000.0;
    }

    @Test
    void onePauseTurnsNobodyAway() {
        LoadShedder pressure = pressure();
        for (int each = 0; each < 1000; each++) {
            pressure.recordBatch(each * 0.01, each * 0.01 + 0.0005);
        }
        pressure.recordBatch(10, 10.09);
        assertEquals(0, turnedAway(pressure, 10.09, 1));
    }

    @Test
    void theVeryFirstBatchIsNoJam() {
        LoadShedder pressure = pressure();
        pressure.recordBatch(5, 5.1);
        assertEquals(0, turnedAway(pressure, 5.1, 1));
    }

    @Test
    void batchesThatAreLongOneAfterAnotherTurnMostAwayButNeverAll() {
        LoadShedder pressure = pressure();
        for (int each = 0; each < 40; each++) {
            pressure.recordBatch(each * 0.2, each * 0.2 + 0.2);
        }
        assertEquals(0.1, pressure.expectedWait(8), 0.03);
        double away = turnedAway(pressure, 8, 0);
        assertTrue(away > 0.85 && away < 0.94, "away " + away);
        assertEquals(away / 2, turnedAway(pressure, 8, 3), 0.05);
    }

    @Test
    void aCoreThatComesInSlicesCountsAsBehind() {
        // Batches of 2 ms of work that the system interrupts for 50 ms each time.
        LoadShedder pressure = pressure();
        for (int each = 0; each < 100; each++) {
            pressure.recordBatch(each * 0.1, each * 0.1 + 0.098);
        }
        assertTrue(turnedAway(pressure, 10, 0) > 0.3);
    }

    @Test
    void itEndsByItselfWithTheLoad() {
        LoadShedder pressure = pressure();
        for (int each = 0; each < 40; each++) {
            pressure.recordBatch(each * 0.2, each * 0.2 + 0.2);
        }
        for (int each = 0; each < 150; each++) {
            pressure.recordBatch(8 + each * 0.01, 8 + each * 0.01 + 0.001);
        }
        assertEquals(0, turnedAway(pressure, 9.5, 0));
        LoadShedder silent = pressure();
        silent.recordBatch(0, 2);
        assertEquals(0, turnedAway(silent, 4, 0));
    }

    @Test
    void thoseTurnedAwayReturnSpread() {
        LoadShedder pressure = pressure();
        double least = 9;
        double most = 0;
        for (int each = 0; each < 1000; each++) {
            double wait = pressure.retryAfterSeconds();
            least = Math.min(least, wait);
            most = Math.max(most, wait);
        }
        assertTrue(least >= 0.25 * GOAL && most <= 0.75 * GOAL && most - least > 0.4 * GOAL);
    }

    /**
     * A mixer that can serve 500 queries a second is offered more; a wake-up handles all that came since the last one.
     * A query counts when it was begun within its goal; one that was not still costs its work.
     */
    private static double servedASecond(double offered, boolean guarded) {
        LoadShedder pressure = pressure();
        SplittableRandom chance = new SplittableRandom(11);
        ArrayDeque<Double> came = new ArrayDeque<>();
        double next = 0;
        double now = 0;
        int served = 0;
        while (now < 20) {
            while (next <= now) {
                came.add(next);
                next -= Math.log(1 - chance.nextDouble()) / offered;
            }
            if (came.isEmpty()) {
                now = next;
                continue;
            }
            double began = now;
            for (int left = came.size(); left > 0; left--) {
                double at = came.poll();
                if (guarded && pressure.shouldReject(began, 1)) {
                    now += 0.0001;
                } else {
                    now += 0.002;
                    served += now - at <= GOAL ? 1 : 0;
                }
            }
            pressure.recordBatch(began, now);
        }
        return served / 20.0;
    }

    @Test
    void threeTimesTheLoadLeavesMostOfWhatCanBeServed() {
        double calm = servedASecond(300, true);
        assertEquals(300, calm, 15);
        double without = servedASecond(1500, false);
        double with = servedASecond(1500, true);
        assertTrue(without < 60, "without the guard " + without);
        assertTrue(with > 300, "with it " + with);
    }
}
