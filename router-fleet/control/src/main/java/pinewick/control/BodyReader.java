package pinewick.control;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the body of a request asynchronously. Calls its {@link Listener} exactly once: with the complete body, or
 * with the reason why there is none.
 */
final class BodyReader implements Invocable.Task {
    /** Notified when the reading has ended. */
    interface Listener {
        /** The complete body has arrived. */
        void onComplete(byte[] body);

        /** The body is larger than allowed. */
        void onTooLarge();

        /** There is currently not enough memory budget for the body. */
        void onBudgetExhausted();

        /** The body has not arrived in time. */
        void onTimeout();

        /** The connection has failed. */
        void onFailure(Throwable cause);
    }

    /**
     * A rejected body is still read up to this size, because closing a connection with unread data resets it, and
     * the response may be lost.
     */
    private static final long MAX_DISCARDED_BYTES = 32L * 1024 * 1024;

    private final Request request;
    private final int maxBytes;
    private final BodyBudget.Reservation reservation;
    private final Listener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Scheduler.Task timeoutTask;
    private byte[] body = {};
    private int length;
    private volatile Runnable rejection;
    private long discardedBytes;

    /**
     * @param maxBytes size of the largest accepted body, bytes
     * @param reservation the memory reservation for the body; released by the caller
     */
    BodyReader(Request request, int maxBytes, BodyBudget.Reservation reservation, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.reservation = reservation;
        this.listener = listener;
    }

    /** Starts to read; the listener is notified within {@code timeoutMs} milliseconds. */
    void start(Scheduler scheduler, long timeoutMs) {
        long contentLength = request.getLength();
        if (contentLength > MAX_DISCARDED_BYTES) {
            end(listener::onTooLarge);
            return;
        }
        if (contentLength > maxBytes) {
            rejection = listener::onTooLarge;
        } else if (contentLength > 0 && !ensureCapacity((int) contentLength)) {
            rejection = listener::onBudgetExhausted;
        }
        if (!readAvailable()) {
            timeoutTask = scheduler.schedule(this::onReadTimeout, timeoutMs, TimeUnit.MILLISECONDS);
            request.demand(this);
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Called when more of the body has arrived. */
    @Override
    public void run() {
        if (!readAvailable()) {
            request.demand(this);
        }
    }

    /** Reads the chunks that have arrived; returns whether the reading has ended. */
    private boolean readAvailable() {
        while (!ended.get()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                return false;
            }
            onChunk(chunk);
        }
        return true;
    }

    private void onChunk(Content.Chunk chunk) {
        if (Content.Chunk.isFailure(chunk)) {
            end(() -> listener.onFailure(chunk.getFailure()));
            return;
        }
        if (rejection == null) {
            reserveFor(chunk.remaining());
        }
        if (rejection == null) {
            append(chunk);
        } else {
            discard(chunk);
        }
        chunk.release();
    }

    private void reserveFor(int count) {
        if ((long) length + count > maxBytes) {
            rejection = listener::onTooLarge;
        } else if (!ensureCapacity(length + count)) {
            rejection = listener::onBudgetExhausted;
        }
    }

    private void discard(Content.Chunk chunk) {
        discardedBytes += chunk.remaining();
        if (chunk.isLast() || discardedBytes > MAX_DISCARDED_BYTES) {
            end(rejection);
        }
    }

    private void append(Content.Chunk chunk) {
        int count = chunk.remaining();
        chunk.get(body, length, count);
        length += count;
        if (chunk.isLast()) {
            byte[] complete = length == body.length ? body : Arrays.copyOf(body, length);
            end(() -> listener.onComplete(complete));
        }
    }

    private boolean ensureCapacity(int needed) {
        if (needed <= body.length) {
            return true;
        }
        int capacity = Math.max(needed, Math.min(maxBytes, 2 * body.length));
        if (!reservation.reserve(capacity - body.length)) {
            return false;
        }
        body = Arrays.copyOf(body, capacity);
        return true;
    }

    private void onReadTimeout() {
        Runnable knownRejection = rejection;
        end(knownRejection == null ? listener::onTimeout : knownRejection);
    }

    private void end(Runnable notification) {
        if (ended.compareAndSet(false, true)) {
            Scheduler.Task pending = timeoutTask;
            if (pending != null) {
                pending.cancel();
            }
            notification.run();
        }
    }
}
