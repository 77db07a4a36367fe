package pinewick.dataplane;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/** Timers on Jetty's scheduler; tasks run on the data plane's executor. */
final class JettyTimers implements Timers {
    private static final double NANOS_PER_MS = 1e6;

    private final Scheduler scheduler;
    private final SerialExecutor serial;

    JettyTimers(Scheduler scheduler, SerialExecutor serial) {
        this.scheduler = scheduler;
        this.serial = serial;
    }

    @Override
    public double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        OneShot timer = new OneShot(task);
        long delay = Math.max(0, (long) Math.ceil(delayMs));
        timer.handle = scheduler.schedule(() -> serial.execute(timer::run), delay, TimeUnit.MILLISECONDS);
        return timer;
    }

    private static final class OneShot implements Timer {
        private final Runnable task;
        private Scheduler.Task handle;
        private boolean cancelled;

        OneShot(Runnable task) {
            this.task = task;
        }

        void run() {
            if (!cancelled) {
                cancelled = true;
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            handle.cancel();
        }
    }
}
