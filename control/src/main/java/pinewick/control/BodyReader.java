package pinewick.control;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads the body of one request without holding a thread. Ends in exactly one call of its {@link Listener}: the whole
 * body, a body that is too large, a connection that broke, or a deadline that passed.
 */
final class BodyReader implements Invocable.Task {
    /** Told how the reading ended. */
    interface Listener {
        /** The whole body has arrived. */
        void complete(byte[] body);

        /** The body is larger than allowed; the rest of it has not been read. */
        void tooLarge();

        /** The body has not arrived in time. */
        void late();

        /** The connection has failed. */
        void failed(Throwable cause);
    }

    private static final int FIRST_CAPACITY = 512;

    private final Request request;
    private final int maxBytes;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(FIRST_CAPACITY);
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Scheduler.Task deadline;

    private BodyReader(Request request, int maxBytes, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /** Starts to read; the listener is told within {@code deadlineMs}. */
    static void read(Request request, int maxBytes, long deadlineMs, Scheduler scheduler, Listener listener) {
        if (request.getLength() > maxBytes) {
            listener.tooLarge();
            return;
        }
        BodyReader reader = new BodyReader(request, maxBytes, listener);
        if (reader.readAvailable()) {
            return;
        }
        reader.deadline = scheduler.schedule(reader::onDeadline, deadlineMs, TimeUnit.MILLISECONDS);
        request.demand(reader);
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** More of the body has arrived. */
    @Override
    public void run() {
        if (ended.get()) {
            return;
        }
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
        boolean fits = body.size() + chunk.remaining() <= maxBytes;
        if (fits) {
            append(chunk);
        }
        chunk.release();
        if (!fits) {
            end(listener::tooLarge);
        } else if (chunk.isLast()) {
            end(() -> listener.complete(body.toByteArray()));
        }
    }

    private void append(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.get(bytes, 0, bytes.length);
        body.writeBytes(bytes);
    }

    private void onDeadline() {
        end(listener::late);
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
