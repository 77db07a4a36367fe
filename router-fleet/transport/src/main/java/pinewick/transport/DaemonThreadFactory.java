package pinewick.transport;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates named daemon threads for a pool. Jetty's own factory creates threads through method handles, whose linking
 * takes time at each start of a process.
 */
public final class DaemonThreadFactory implements ThreadFactory {
    private final String name;
    private final AtomicInteger created = new AtomicInteger();

    /** @param name of the pool; its threads are named after it, with a number */
    public DaemonThreadFactory(String name) {
        this.name = name;
    }

    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(task, name + "-" + created.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }
}
