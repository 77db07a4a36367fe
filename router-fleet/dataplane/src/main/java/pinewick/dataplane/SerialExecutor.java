package pinewick.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time and in order, on the thread that submits a task while none is running. A task submitted by a
 * running task runs after it, so tasks never nest. Tasks must not block.
 */
final class SerialExecutor implements Executor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() == 0) {
            drain();
        }
    }

    private void drain() {
        do {
            run(tasks.poll());
        } while (pending.decrementAndGet() != 0);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // A task that fails must not prevent the tasks after it from running.
            LOGGER.atSevere().withCause(e).log("data plane task failed");
        }
    }
}
