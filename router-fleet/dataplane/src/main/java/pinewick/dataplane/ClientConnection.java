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
 * A client's HTTP/1.1 connection. It differs from Jetty's in three points: each chunk is sent with its line end, an
 * idle connection is not read before there is input, and a request's head must arrive within a timeout.
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

    /** Creates {@link ClientConnection}s. */
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
     * Stops accepting requests on this connection. If a response that closes the connection is written by a thread
     * other than the reading one, Jetty could otherwise read another request before the close.
     */
    void rejectFurtherRequests() {
        rejectsRequests = true;
    }

    /** Whether a request that was read may be executed. Jetty delivers buffered requests even after a close. */
    boolean acceptsRequests() {
        return !rejectsRequests && getEndPoint().isOpen();
    }

    /** Records that a request's head arrived. Called on the reading thread. */
    void onRequestHead() {
        wasPipelined = continuesReading;
    }

    /**
     * Whether the client has disconnected already when its request is read, which is possible if the request was
     * pipelined. Called on the reading thread because it may fill the connection's buffer.
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

    /** Reads the next request after a response was completed. */
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
