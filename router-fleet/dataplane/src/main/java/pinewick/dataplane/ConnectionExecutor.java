package pinewick.dataplane;

import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;

/**
 * Delegates to Jetty's executor, with one exception: a connection whose response was completed reads its next request
 * on the thread that completed the response, which avoids waking another thread. That is safe because reading does not
 * block and no lock is held on completion.
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
