package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class TimeLimitTest {
    private final AtomicLong nowNs = new AtomicLong();
    private final TimeLimit limit = new TimeLimit(Duration.ofSeconds(1), nowNs::get);

    @Test
    void waitsUntilTheConditionIsTrue() throws Exception {
        AtomicInteger checks = new AtomicInteger();

        limit.await("the third check", () -> checks.incrementAndGet() == 3);

        assertEquals(3, checks.get());
    }

    @Test
    void namesTheConditionOnTimeout() {
        DemoFailedException failure = assertThrows(
                DemoFailedException.class,
                () -> limit.await("the condition", () -> {
                    nowNs.addAndGet(Duration.ofMillis(600).toNanos());
                    return false;
                }));

        assertEquals("timed out waiting for the condition", failure.getMessage());
    }

    @Test
    void doesNotSleepBeyondTheDeadline() throws Exception {
        nowNs.set(Duration.ofSeconds(2).toNanos());

        limit.sleep(Duration.ofDays(1));
    }
}
