package pinewick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tasks that run over and over on the control loop. */
class ControlLoopTest {
    private static final long LIMIT_SECONDS = 20;

    private final ControlLoop loop = new ControlLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void aTaskRunsAgainAfterTheIntervalSuppliedBeforeEachRun() throws InterruptedException {
        Queue<Double> runsAtMs = new ConcurrentLinkedQueue<>();
        CountDownLatch threeRuns = new CountDownLatch(3);
        AtomicInteger asked = new AtomicInteger();
        loop.repeatAtVariableInterval(
                () -> {
                    runsAtMs.add(loop.nowMs());
                    threeRuns.countDown();
                },
                () -> asked.incrementAndGet() * 20L);
        assertTrue(threeRuns.await(LIMIT_SECONDS, TimeUnit.SECONDS));
        double first = runsAtMs.remove();
        double second = runsAtMs.remove();
        double third = runsAtMs.remove();
        assertTrue(second - first >= 40, "second pause " + (second - first));
        assertTrue(third - second >= 60, "third pause " + (third - second));
    }

    @Test
    void aTaskThatThrowsIsRunAgain() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        loop.repeatAtVariableInterval(
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("for the test");
                },
                () -> 1);
        assertTrue(runs.await(LIMIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void aClosedLoopTakesNoTask() {
        loop.close();
        AtomicInteger runs = new AtomicInteger();
        loop.repeatAtVariableInterval(runs::incrementAndGet, () -> 0);
        assertEquals(0, runs.get());
    }
}
