package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/**
 * Responds to one client request through Jetty. One write is in progress at a time; chunks that arrive during it are
 * sent together by the next write. Used on the data plane's executor only.
 */
final class JettyClientExchange implements ClientExchange, ClientDisconnectDetector.Client {
    /**
     * Maximum bytes of a pipelined request that are read ahead while this one is in flight; far fewer than the capacity
     * of Jetty's buffer.
     */
    static final int MAX_READ_AHEAD_BYTES = 1024;

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final SerialExecutor serial;
    private final BooleanSupplier closesConnection;
    private final ByteBuffer readAheadBuffer;
    private final Deque<byte[]> pendingChunks = new ArrayDeque<>();
    private RequestLifecycle lifecycle;
    private double deadlineAtMs = Double.POSITIVE_INFINITY;
    private long pendingBytes;
    private boolean writing;
    private boolean streamEnded;
    private boolean finished;
    private int readAheadBytes;

    /**
     * @param closesConnection whether the response must close the connection
     * @param readAheadBuffer shared buffer for reading ahead when checking for a disconnect
     * @param onResponseComplete called once the response is fully written, or the connection is closed
     */
    JettyClientExchange(
            Request request,
            Response response,
            Callback callback,
            SerialExecutor serial,
            BooleanSupplier closesConnection,
            ByteBuffer readAheadBuffer,
            Consumer<JettyClientExchange> onResponseComplete) {
        this.request = request;
        this.response = response;
        this.callback = Callback.from(callback, () -> serial.execute(() -> onResponseComplete.accept(this)));
        this.serial = serial;
        this.closesConnection = closesConnection;
        this.readAheadBuffer = readAheadBuffer;
    }

    /**
     * Sets the lifecycle to notify of a disconnect and of written chunks.
     *
     * @param responseDeadlineAtMs time by which the client must have received the complete response
     */
    void setLifecycle(RequestLifecycle lifecycle, double responseDeadlineAtMs) {
        this.lifecycle = lifecycle;
        this.deadlineAtMs = responseDeadlineAtMs;
    }

    /**
     * Checks whether the client has closed its connection. Bytes of a pipelined request are passed to the connection's
     * buffer. Nothing is read if the buffer may be full or contained bytes before; a disconnect is then detected only
     * at the next write. A client that has not received the end of its response by the deadline counts as disconnected.
     */
    @Override
    public void checkDisconnected(double nowMs) {
        if (finished) {
            if (nowMs >= deadlineAtMs) {
                request.getConnectionMetaData().getConnection().getEndPoint().close();
            }
            return;
        }
        if (!(request.getConnectionMetaData().getConnection() instanceof ClientConnection connection)) {
            return;
        }
        boolean hasCapacity = readAheadBytes > 0 || connection.isRequestBufferEmpty();
        if (!hasCapacity || readAheadBytes >= MAX_READ_AHEAD_BYTES) {
            return;
        }
        try {
            readAhead(connection);
        } catch (IOException e) {
            onDisconnected(e);
        }
    }

    private void readAhead(ClientConnection connection) throws IOException {
        int filled = 1;
        while (filled > 0 && readAheadBytes < MAX_READ_AHEAD_BYTES) {
            ByteBuffer buffer = readAheadBuffer.clear().slice(0, MAX_READ_AHEAD_BYTES - readAheadBytes);
            BufferUtil.clear(buffer);
            filled = connection.getEndPoint().fill(buffer);
            if (filled > 0) {
                readAheadBytes += filled;
                connection.onUpgradeTo(buffer);
            }
        }
        if (filled < 0) {
            onDisconnected(new EofException("the client has closed its connection"));
        }
    }

    @Override
    public void respond(int status, HttpFields fields, byte[] body) {
        finished = true;
        setHead(status, fields);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    @Override
    public void beginStream(int status, HttpFields fields) {
        setHead(status, fields);
    }

    private void setHead(int status, HttpFields fields) {
        response.setStatus(status);
        response.getHeaders().add(fields);
        if (closesConnection.getAsBoolean()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
    }

    @Override
    public void forward(byte[] chunk) {
        pendingBytes += chunk.length;
        pendingChunks.add(chunk);
        writeNext();
    }

    @Override
    public void endStream() {
        streamEnded = true;
        writeNext();
    }

    @Override
    public void abort() {
        if (!finished) {
            finished = true;
            pendingChunks.clear();
            callback.failed(new IOException("the replica aborted the response stream"));
        }
    }

    @Override
    public long pendingBytes() {
        return pendingBytes;
    }

    private void writeNext() {
        if (writing || finished || (pendingChunks.isEmpty() && !streamEnded)) {
            return;
        }
        ByteBuffer content = takePendingChunks();
        int length = content.remaining();
        if (streamEnded) {
            finished = true;
            response.write(true, content, callback);
            return;
        }
        writing = true;
        response.write(
                false,
                content,
                Callback.from(
                        InvocationType.NON_BLOCKING,
                        () -> serial.execute(() -> onWritten(length)),
                        cause -> serial.execute(() -> onDisconnected(cause))));
    }

    private ByteBuffer takePendingChunks() {
        if (pendingChunks.isEmpty()) {
            return BufferUtil.EMPTY_BUFFER;
        }
        int total = 0;
        for (byte[] chunk : pendingChunks) {
            total += chunk.length;
        }
        ByteBuffer joined = CompleteChunkGenerator.withLineEnd(pendingChunks, total);
        pendingChunks.clear();
        return joined;
    }

    private void onWritten(int length) {
        writing = false;
        pendingBytes -= length;
        writeNext();
        if (pendingBytes == 0) {
            lifecycle.onClientDrained();
        }
    }

    /** Ends the request because the client's connection has failed or was closed. */
    void onDisconnected(Throwable cause) {
        if (!finished) {
            finished = true;
            pendingChunks.clear();
            callback.failed(cause);
            lifecycle.onClientDisconnected();
        }
    }
}
