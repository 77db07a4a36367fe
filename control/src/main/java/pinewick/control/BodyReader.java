package pinewick.control;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the body of one request without holding a thread. Ends in exactly one call of its {@link Listener}: with
 * the whole body, or with the reason why there is none.
 */
final class BodyReader implements Invocable.Task {
    /** Told how the reading ended. */
    interface Listener {
        /** The whole body has arrived. */
        void complete(byte[] body);

        /** The body is larger than allowed; the rest of it has not been read. */
        void tooLarge();

        /** There is no memory for the body at present; the rest of it has not been read. */
        void noRoom();

        /** The body has not arrived in time. */
        void late();

        /** The connection has failed. */
        void failed(Throwable cause);
    }

    private final Request request;
    private final int maxBytes;
    private final BodyBudget.Share memory;
    private final Listener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Scheduler.Task deadline;
    private byte[] body = {};
    private int length;

    /**
     * @param maxBytes the largest body
     * @param memory where the memory for the body is taken from; the caller gives it back
     */
    BodyReader(Request request, int maxBytes, BodyBudget.Share memory, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.memory = memory;
        this.listener = listener;
    }

    /** Starts to read; the listener is told within {@code deadlineMs}. */
    void start(Scheduler scheduler, long deadlineMs) {
        long announced = request.getLength();
        if (announced > maxBytes) {
            end(listener::tooLarge);
            return;
        }
        if (announced > 0 && !ensureCapacity((int) announced)) {
            end(listener::noRoom);
            return;
        }
        if (!readAvailable()) {
            deadline = scheduler.schedule(() -> end(listener::late), deadlineMs, TimeUnit.MILLISECONDS);
            request.demand(this);
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** More of the body has arrived. */
    @Override
    public void run() {
        if (!readAvailable()) {
            request.demand(this);
        }
    }

    /** Reads what is there; returns whether the reading has ended. */
    private boolean readAvailable() {
        while (!ended.get()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                return false;
            }
            take(chunk);
        }
        return true;
    }

    private void take(Content.Chunk chunk) {
        if (Content.Chunk.isFailure(chunk)) {
            end(() -> listener.failed(chunk.getFailure()));
            return;
        }
        if ((long) length + chunk.remaining() > maxBytes) {
            end(listener::tooLarge);
        } else if (!ensureCapacity(length + chunk.remaining())) {
            end(listener::noRoom);
        } else {
            append(chunk);
        }
        chunk.release();
    }

    private void append(Content.Chunk chunk) {
        int count = chunk.remaining();
        chunk.get(body, length, count);
        length += count;
        if (chunk.isLast()) {
            byte[] whole = length == body.length ? body : Arrays.copyOf(body, length);
            end(() -> listener.complete(whole));
        }
    }

    private boolean ensureCapacity(int needed) {
        if (needed <= body.length) {
            return true;
        }
        int capacity = Math.max(needed, Math.min(maxBytes, 2 * body.length));
        if (!memory.take(capacity - body.length)) {
            return false;
        }
        body = Arrays.copyOf(body, capacity);
        return true;
    }

    private void end(Runnable ending) {
        if (ended.compareAndSet(false, true)) {
            Scheduler.Task pending = deadline;
            if (pending != null) {
                pending.cancel();
            }
            ending.run();
        }
    }
}
