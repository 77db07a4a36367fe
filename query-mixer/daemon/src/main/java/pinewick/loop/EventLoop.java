package pinewick.loop;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The one thread that owns the decisions and all state. The events of one wake-up are a batch with one clock;
 * XNIO runs what is put to the thread after all that were ready, so the batch ends there.
 */
public final class EventLoop {
    /** Long enough that the sockets are looked at in between, short beside any time-out. */
    private static final double NEWS = 0.01;

    private final XnioIoThread thread;
    private final Log log;
    private final double startedAt = System.currentTimeMillis() / 1e3;
    private final long startedNanos = System.nanoTime();
    private Runnable endOfBatch = () -> {};
    private LoadShedder loadShedder;
    private final Runnable closing = this::close;
    private boolean inBatch;
    private double now = startedAt;
    private double lastPolledAt = startedAt;
    private long faults;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 << 10);

    public EventLoop(XnioIoThread thread, Log log) {
        this.thread = thread;
        this.log = log;
    }

    public void onBatchEnd(Runnable end) {
        endOfBatch = end;
    }

    /** Tells how long each batch took. */
    public void setLoadShedder(LoadShedder by) {
        loadShedder = by;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** The batch's clock: seconds since 1970 at the start, from then on by the monotonic clock. */
    public double now() {
        return now;
    }

    /** What is read in this batch came after this time, when the sockets had been looked at before. */
    public double lastPolledAt() {
        return lastPolledAt;
    }

    /** The clock itself, for what is written late in a batch. */
    public double clock() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e9;
    }

    /** For bytes that are used up before the caller returns. */
    public ByteBuffer readBuffer() {
        return readBuffer;
    }

    public long faults() {
        return faults;
    }

    /** Handles one event on this thread; the first one of a wake-up opens its batch. */
    public void event(String doing, Runnable event) {
        if (Thread.currentThread() != thread) {
            later(doing, event);
            return;
        }
        if (!inBatch) {
            inBatch = true;
            lastPolledAt = now;
            now = clock();
            thread.execute(closing);
        }
        guarded(doing, event);
    }

    private void close() {
        try {
            guarded("ending a batch", endOfBatch);
        } finally {
            if (loadShedder != null) {
                loadShedder.recordBatch(now, clock());
            }
            inBatch = false;
        }
    }

    /** No exception ends the loop, nor one of the kind that a full heap or stack brings. */
    public void guarded(String doing, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | VirtualMachineError fault) {
            faults++;
            log.fault(doing, fault);
        }
    }

    /** An event of a later wake-up; may be called from any thread. */
    public void later(String doing, Runnable event) {
        thread.execute(() -> event(doing, event));
    }

    /**
     * A time-out: its event comes only after what had come in by then. Danger: timers go first in a wake-up, so after
     * this program stood still (a start on part of a core) connections and answers that are there would count as late.
     * What is put to the thread without a delay runs before it looks at the sockets again. Harm: 20 ms later.
     */
    public XnioExecutor.Key timeOut(double seconds, String doing, Runnable event) {
        return after(seconds, doing, () -> after(NEWS, doing, () -> after(NEWS, doing, event)));
    }

    public XnioExecutor.Key after(double seconds, String doing, Runnable event) {
        return thread.executeAfter(
                () -> event(doing, event), Math.max(0, Math.round(seconds * 1e6)), TimeUnit.MICROSECONDS);
    }
}
