package pinewick.loop;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The single thread that owns the scheduler and all state. The events of one wake-up form a batch with one time stamp;
 * XNIO runs tasks that were submitted to the thread after all ready channels, so the batch ends there.
 */
public final class EventLoop {
    /** Long enough that the sockets are polled in between, short compared with any timeout. */
    private static final double POLL_DELAY_SECONDS = 0.01;

    private final XnioIoThread thread;
    private final Log log;
    private final double startedAt = System.currentTimeMillis() / 1e3;
    private final long startedNanos = System.nanoTime();
    private Runnable batchEndHandler = () -> {};
    private LoadShedder loadShedder;
    private final Runnable batchEndTask = this::endBatch;
    private boolean inBatch;
    private double now = startedAt;
    private double lastPolledAt = startedAt;
    private long faultCount;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 << 10);

    public EventLoop(XnioIoThread thread, Log log) {
        this.thread = thread;
        this.log = log;
    }

    public void onBatchEnd(Runnable handler) {
        batchEndHandler = handler;
    }

    /** Sets the load shedder that receives the duration of each batch. */
    public void setLoadShedder(LoadShedder shedder) {
        loadShedder = shedder;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** Time stamp of the current batch: seconds since 1970, advanced by the monotonic clock since the start. */
    public double now() {
        return now;
    }

    /** Time of the previous batch, at which the sockets had been polled; data read in this batch arrived after it. */
    public double lastPolledAt() {
        return lastPolledAt;
    }

    /** The current time, for data that is written late in a batch. */
    public double clock() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e9;
    }

    /** A shared buffer, for bytes that are consumed before the caller returns. */
    public ByteBuffer readBuffer() {
        return readBuffer;
    }

    public long faults() {
        return faultCount;
    }

    /** Runs an event on this thread; the first one of a wake-up opens its batch. */
    public void event(String description, Runnable event) {
        if (Thread.currentThread() != thread) {
            later(description, event);
            return;
        }
        if (!inBatch) {
            inBatch = true;
            lastPolledAt = now;
            now = clock();
            thread.execute(batchEndTask);
        }
        guarded(description, event);
    }

    private void endBatch() {
        try {
            guarded("ending a batch", batchEndHandler);
        } finally {
            if (loadShedder != null) {
                loadShedder.recordBatch(now, clock());
            }
            inBatch = false;
        }
    }

    /**
     * Runs an action so that no exception ends the loop, including the VirtualMachineError of an exhausted heap or
     * stack.
     */
    public void guarded(String description, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | VirtualMachineError fault) {
            faultCount++;
            log.fault(description, fault);
        }
    }

    /** Runs an event in a later wake-up; may be called from any thread. */
    public void later(String description, Runnable event) {
        thread.execute(() -> event(description, event));
    }

    /**
     * Schedules a timeout whose event runs only after what had arrived by then. Timers fire first in a wake-up, so
     * after this process was paused (for example a start on part of a core) connections and responses that are ready
     * would count as late. Tasks without a delay run before the sockets are polled again, hence the short delays. Cost:
     * 20 ms later.
     */
    public XnioExecutor.Key timeOut(double seconds, String description, Runnable event) {
        return after(
                seconds,
                description,
                () -> after(POLL_DELAY_SECONDS, description, () -> after(POLL_DELAY_SECONDS, description, event)));
    }

    public XnioExecutor.Key after(double seconds, String description, Runnable event) {
        return thread.executeAfter(
                () -> event(description, event), Math.max(0, Math.round(seconds * 1e6)), TimeUnit.MICROSECONDS);
    }
}
