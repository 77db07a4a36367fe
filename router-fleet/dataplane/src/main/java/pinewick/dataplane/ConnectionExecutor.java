package pinewick.dataplane;

import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;

/**
 * Jetty's executor, but for one task: a connection whose response was completed reads its next request on the thread
 * that completed it, which saves the wake-up of another thread. Nothing blocks there, and no lock is held on
 * completion.
 */
final class ConnectionExecutor implements Executor {
    private final Executor threads;

    ConnectionExecutor(Executor threads) {
        this.threads = threads;
    }

    @Override
    public void execute(Runnable task) {
        if (task instanceof Connection) {
            task.run();
        } else {
            threads.execute(task);
        }
    }
}
