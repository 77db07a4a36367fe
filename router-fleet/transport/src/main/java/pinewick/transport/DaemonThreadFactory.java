package pinewick.transport;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates named daemon threads for a pool. Jetty's own factory creates threads through method handles, whose linking
 * slows down every start of a process.
 */
public final class DaemonThreadFactory implements ThreadFactory {
    private final String poolName;
    private final AtomicInteger createdThreads = new AtomicInteger();

    /** @param poolName the name of the pool; its threads have this name with a number appended */
    public DaemonThreadFactory(String poolName) {
        this.poolName = poolName;
    }

    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(task, poolName + "-" + createdThreads.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }
}
