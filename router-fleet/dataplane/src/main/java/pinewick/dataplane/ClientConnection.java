package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.IntSupplier;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Jetty's connection to a client, with three differences: chunks are sent complete, an idle connection is not read
 * before there is input, and a request's head must arrive within a timeout.
 */
final class ClientConnection extends HttpConnection {
    private static final double NANOS_PER_MS = 1e6;

    private final IntSupplier headerTimeoutMs;
    private long headStartedNanos;
    private volatile boolean rejectsRequests;
    private boolean continuesReading;
    private boolean wasPipelined;

    private ClientConnection(
            HttpConfiguration configuration, Connector connector, EndPoint endPoint, IntSupplier headerTimeoutMs) {
        super(configuration, connector, endPoint);
        this.headerTimeoutMs = headerTimeoutMs;
    }

    /** Makes such connections. */
    static final class Factory extends HttpConnectionFactory {
        private final IntSupplier headerTimeoutMs;

        Factory(HttpConfiguration configuration, IntSupplier headerTimeoutMs) {
            super(configuration);
            this.headerTimeoutMs = headerTimeoutMs;
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            ClientConnection connection =
                    new ClientConnection(getHttpConfiguration(), connector, endPoint, headerTimeoutMs);
            connection.setUseInputDirectByteBuffers(isUseInputDirectByteBuffers());
            connection.setUseOutputDirectByteBuffers(isUseOutputDirectByteBuffers());
            return configure(connection, connector, endPoint);
        }
    }

    @Override
    protected HttpGenerator newHttpGenerator() {
        HttpGenerator generator = new CompleteChunkGenerator();
        generator.setMaxHeaderBytes(getHttpConfiguration().getResponseHeaderSize());
        return generator;
    }

    /**
     * Accepts no more requests from this connection. Jetty may otherwise read one between a response that closes the
     * connection, if that is written by another thread than the reading one, and the close.
     */
    void rejectFurtherRequests() {
        rejectsRequests = true;
    }

    /** Whether a request that was read may be executed; Jetty delivers what is in its buffer after a close, too. */
    boolean acceptsRequests() {
        return !rejectsRequests && getEndPoint().isOpen();
    }

    /** A request's head arrived; called on the reading thread. */
    void onRequestHead() {
        wasPipelined = continuesReading;
    }

    /**
     * Whether the client had disconnected before the request that was just read started, which is possible if it was
     * pipelined. Called on the reading thread, as it may fill the buffer.
     */
    boolean hasDisconnected() {
        if (!wasPipelined || !isRequestBufferEmpty()) {
            return false;
        }
        ByteBuffer buffer = BufferUtil.allocate(JettyClientExchange.MAX_READ_AHEAD_BYTES);
        try {
            int filled = getEndPoint().fill(buffer);
            if (filled > 0) {
                onUpgradeTo(buffer);
            }
            return filled < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** A response was completed: reads the next request. */
    @Override
    public void run() {
        if (isRequestBufferEmpty() && getParser().isStart() && getEndPoint().isOpen()) {
            fillInterested();
            return;
        }
        continuesReading = true;
        try {
            super.run();
        } finally {
            continuesReading = false;
        }
    }

    @Override
    public void onFillable() {
        super.onFillable();
        if (!isInHead()) {
            headStartedNanos = 0;
        } else if (headStartedNanos == 0) {
            headStartedNanos = System.nanoTime();
        } else if ((System.nanoTime() - headStartedNanos) / NANOS_PER_MS > headerTimeoutMs.getAsInt()) {
            getEndPoint().close();
        }
    }

    private boolean isInHead() {
        return getHttpChannel().getRequest() == null
                && !getParser().isStart()
                && !getParser().isTerminated();
    }
}
