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

/** Tests tasks that run repeatedly on the control loop. */
class ControlLoopTest {
    private static final long TIMEOUT_SECONDS = 20;

    private final ControlLoop loop = new ControlLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void repeatsATaskAfterTheIntervalReadBeforeEachRun() throws InterruptedException {
        Queue<Double> runTimesMs = new ConcurrentLinkedQueue<>();
        CountDownLatch threeRuns = new CountDownLatch(3);
        AtomicInteger intervalReads = new AtomicInteger();
        loop.repeatAtVariableInterval(
                () -> {
                    runTimesMs.add(loop.nowMs());
                    threeRuns.countDown();
                },
                () -> intervalReads.incrementAndGet() * 20L);
        assertTrue(threeRuns.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        double firstRunMs = runTimesMs.remove();
        double secondRunMs = runTimesMs.remove();
        double thirdRunMs = runTimesMs.remove();
        assertTrue(secondRunMs - firstRunMs >= 40, "delay before the second run, ms: " + (secondRunMs - firstRunMs));
        assertTrue(thirdRunMs - secondRunMs >= 60, "delay before the third run, ms: " + (thirdRunMs - secondRunMs));
    }

    @Test
    void repeatsATaskThatThrows() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        loop.repeatAtVariableInterval(
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("expected by the test");
                },
                () -> 1);
        assertTrue(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void ignoresATaskAfterItIsClosed() {
        loop.close();
        AtomicInteger runs = new AtomicInteger();
        loop.repeatAtVariableInterval(runs::incrementAndGet, () -> 0);
        assertEquals(0, runs.get());
    }
}
