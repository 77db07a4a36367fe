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

        /** The body is larger than allowed. */
        void tooLarge();

        /** There is no memory for the body at present. */
        void noRoom();

        /** The body has not arrived in time. */
        void late();

        /** The connection has failed. */
        void failed(Throwable cause);
    }

    /** A body that is refused is still read up to this size, bytes: a close with unread bytes may cost the answer. */
    private static final long MOST_DISCARDED = 32L * 1024 * 1024;

    private final Request request;
    private final int maxBytes;
    private final BodyBudget.Share memory;
    private final Listener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Scheduler.Task deadline;
    private byte[] body = {};
    private int length;
    private volatile Runnable refusal;
    private long discarded;

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
        if (announced > MOST_DISCARDED) {
            end(listener::tooLarge);
            return;
        }
        if (announced > maxBytes) {
            refusal = listener::tooLarge;
        } else if (announced > 0 && !ensureCapacity((int) announced)) {
            refusal = listener::noRoom;
        }
        if (!readAvailable()) {
            deadline = scheduler.schedule(this::onDeadline, deadlineMs, TimeUnit.MILLISECONDS);
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
        if (refusal == null) {
            checkRoom(chunk.remaining());
        }
        if (refusal == null) {
            append(chunk);
        } else {
            discard(chunk);
        }
        chunk.release();
    }

    private void checkRoom(int count) {
        if ((long) length + count > maxBytes) {
            refusal = listener::tooLarge;
        } else if (!ensureCapacity(length + count)) {
            refusal = listener::noRoom;
        }
    }

    private void discard(Content.Chunk chunk) {
        discarded += chunk.remaining();
        if (chunk.isLast() || discarded > MOST_DISCARDED) {
            end(refusal);
        }
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

    private void onDeadline() {
        Runnable known = refusal;
        end(known == null ? listener::late : known);
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
