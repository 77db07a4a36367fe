package pinewick.protocol;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSourceChannel;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.state.OpenQuery;

/** Accepts client connections and serves HTTP/1.1 with Undertow, entirely on the event loop thread. */
public final class ClientListener implements ChannelListener<StreamConnection>, HttpHandler {
    /** Processes a request whose body was read completely; throws IllegalArgumentException if it is malformed. */
    public interface RequestHandler {
        OpenQuery onRequest(HttpServerExchange request, byte[] body, OpenQuery.Client client);

        /** Rejects from now on every query that could end after this time, in seconds on the event loop's clock. */
        void onDrain(double deadline);

        void onCancelled(OpenQuery query);

        /** Counts a rejected request; the part of the reason before the colon names its kind. */
        void onRejected(String reason);

        /** A connection in this state was closed to make room for another. */
        void onEvicted(String stage);
    }

    private final EventLoop loop;
    private final Limits limits;
    private final HttpOpenListener undertow;
    private final Map<StreamConnection, InboundConnection> connections = new LinkedHashMap<>();
    private final Set<BodyReader> pendingBodies = new LinkedHashSet<>();
    private final Supplier<String> counters;
    private RequestHandler requestHandler;
    private boolean ready;
    private boolean draining;
    private long acceptedCount;

    public ClientListener(EventLoop loop, Limits limits, ByteBufferPool buffers, Supplier<String> counters) {
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
        undertow = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .getMap());
        undertow.setRootHandler(new HttpContinueReadHandler(this));
    }

    public void setRequestHandler(RequestHandler handler) {
        requestHandler = handler;
    }

    public void setReady(boolean isReady) {
        ready = isReady;
    }

    /** Number of connections accepted so far. */
    public long acceptedCount() {
        return acceptedCount;
    }

    public int connectionCount() {
        return connections.size();
    }

    /** Starts draining: every response closes its connection, and all responses are due by this time in seconds. */
    public void startDraining(double deadline) {
        ready = false;
        draining = true;
        if (requestHandler != null) {
            requestHandler.onDrain(deadline);
        }
    }

    /** Closes idle connections; a new connection gets a short time to send its first request. */
    public void closeIdleConnections() {
        for (InboundConnection client : List.copyOf(connections.values())) {
            if (!client.connection.isOpen()) {
                connections.remove(client.connection);
            } else if (client.state() == InboundConnection.State.BETWEEN
                    || (client.state() == InboundConnection.State.SILENT
                            && client.stateAgeSeconds() > limits.lingerSeconds())) {
                closeIfEmpty(client);
            }
        }
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        loop.event("accepting a client", () -> {
            // At the connection limit, new clients would have to wait while others hold connections that they do not
            // use.
            int evictionThreshold = limits.maxClientConnections() - limits.maxClientConnections() / 16;
            if (connections.size() >= evictionThreshold) {
                enforceTimeouts();
            }
            for (int attempt = 0; attempt < 4 && connections.size() >= evictionThreshold; attempt++) {
                evictOne();
            }
            acceptedCount++;
            connections.put(connection, new InboundConnection(connection, loop));
            undertow.handleEvent(connection);
        });
    }

    /**
     * Evicts one connection that has no query in progress. Order: keep-alive connections idle for long, then
     * connections without any request for long, then requests that have been arriving for long, then any other
     * connection without a request, then any other idle one; the oldest first. The age thresholds protect clients that
     * connect some time before they send a request from being evicted by a burst of new connections.
     */
    private void evictOne() {
        InboundConnection victim = null;
        int bestRank = Integer.MAX_VALUE;
        for (InboundConnection client : connections.values()) {
            int rank =
                    switch (client.state()) {
                        case SILENT -> client.stateAgeSeconds() > limits.noRequestMinSeconds() ? 1 : 3;
                        case BETWEEN -> client.stateAgeSeconds() > limits.clientIdleMinSeconds() ? 0 : 4;
                        case ARRIVING -> client.stateAgeSeconds() > limits.requestReadMinSeconds()
                                ? 2
                                : Integer.MAX_VALUE;
                        default -> Integer.MAX_VALUE;
                    };
            if (rank < bestRank
                    || (rank == bestRank && victim != null && client.stateAgeSeconds() > victim.stateAgeSeconds())) {
                bestRank = rank;
                victim = client;
            }
        }
        if (victim != null && requestHandler != null) {
            requestHandler.onEvicted(victim.state().name().toLowerCase(Locale.ROOT));
        }
        if (victim != null && victim.state() == InboundConnection.State.ARRIVING) {
            rejectAndClose(victim, "408 Request Timeout", "late: the place is needed");
        } else if (victim != null) {
            closeIfEmpty(victim);
        }
    }

    /**
     * Whether responses should close their connection. Clients that send one request and keep their connection open
     * would use up the connection limit, and other clients could not connect while this router is idle; the same
     * protects against bursts of connections. Cost: one extra connect per request.
     */
    private boolean isCrowded() {
        return connections.size() > limits.maxClientConnections() / limits.crowdedDivisor();
    }

    /**
     * A request that arrives between the check and the close is discarded: the client receives no response and retries.
     */
    private void closeIfEmpty(InboundConnection client) {
        if (client.isEmpty()) {
            close(client, "");
        }
    }

    private void close(InboundConnection client, String finalResponse) {
        client.closeGracefully(
                finalResponse,
                limits.lingerSeconds(),
                limits.maxDiscardBytes(),
                () -> connections.remove(client.connection));
    }

    /** Removes closed connections and closes those that exceeded a timeout; to be called periodically. */
    public void enforceTimeouts() {
        for (InboundConnection client : List.copyOf(connections.values())) {
            if (!client.connection.isOpen()) {
                if (client.state() == InboundConnection.State.ARRIVING && !client.requestSeen) {
                    reportRejected("head: not HTTP");
                }
                connections.remove(client.connection);
            } else if (client.state() == InboundConnection.State.SILENT
                    && client.stateAgeSeconds() > limits.noRequestTimeoutSeconds()) {
                reportRejected("silent: no request");
                closeIfEmpty(client);
            } else if (client.state() == InboundConnection.State.BETWEEN
                    && client.stateAgeSeconds() > limits.clientIdleTimeoutSeconds()) {
                closeIfEmpty(client);
            } else if (client.state() == InboundConnection.State.ARRIVING
                    && client.stateAgeSeconds() > limits.requestReadTimeoutSeconds()) {
                rejectAndClose(client, "408 Request Timeout", "late: the request did not come whole");
            }
        }
        pendingBodies.removeIf(each -> !each.client.connection.isOpen());
    }

    /** Sends an error response and closes the connection without reading any more requests from it. */
    private void rejectAndClose(InboundConnection client, String status, String reason) {
        if (client.state() == InboundConnection.State.LEAVING) {
            return;
        }
        reportRejected(reason);
        close(client, "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    private void reportRejected(String reason) {
        if (requestHandler != null) {
            requestHandler.onRejected(reason);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        loop.event("handling a request", () -> {
            try {
                dispatch(exchange);
            } catch (RuntimeException fault) {
                sendText(exchange, 500, "fault");
                throw fault;
            }
        });
    }

    private void dispatch(HttpServerExchange exchange) {
        StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
        InboundConnection client = connections.get(connection);
        client.requestSeen = true;
        client.transitionTo(InboundConnection.State.ARRIVING);
        exchange.addExchangeCompleteListener((done, next) -> {
            client.transitionTo(
                    done.isPersistent() ? InboundConnection.State.BETWEEN : InboundConnection.State.LEAVING);
            if (!connection.isOpen()) {
                connections.remove(connection);
            } else if (!done.isPersistent()) {
                // Undertow shuts down the output and then drains the input until the client closes, but for up to ten
                // seconds.
                loop.after(limits.lingerSeconds(), "closing after the last response", () -> {
                    IoUtils.safeClose(connection);
                    connections.remove(connection);
                });
            }
            next.proceed();
        });
        String framingError = findFramingError(exchange.getRequestHeaders());
        if (framingError != null) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> rejectAndClose(client, "400 Bad Request", framingError));
            return;
        }
        if (draining) {
            exchange.setPersistent(false);
        }
        boolean post = exchange.getRequestMethod().equals(Methods.POST);
        if (post && exchange.getRequestPath().equals("/api")) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> loop.event("reading a body", new BodyReader(exchange, client)::start));
            return;
        }
        if (exchange.getRequestContentLength() > 0
                || exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            // Undertow would read the body to its end, whatever its length.
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> rejectAndClose(client, "404 Not Found", "path: with a body"));
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/api" -> {
                exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
                reject(exchange, 405, "method: only POST here");
            }
            case "/health/ready" -> sendText(exchange, ready ? 200 : 500, ready ? "ready" : "not ready");
            case "/health/live" -> sendText(exchange, 200, "live");
            case "/counters" -> sendText(exchange, 200, counters.get());
            default -> reject(exchange, 404, "path: no such path");
        }
    }

    /**
     * Checks the headers that delimit the request body. Returns the error, or null if they are valid. Guards against
     * request smuggling: if two parsers see the end of a body at different places, it may hide another request, which
     * would then be executed. So nothing more is read from such a connection.
     */
    private static String findFramingError(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
        if (lengths != null && encodings != null) {
            return "framing: a length and an encoding";
        }
        if (lengths != null && (lengths.size() > 1 || !lengths.getFirst().matches("[0-9]{1,18}"))) {
            return "framing: a length that is none";
        }
        if (encodings != null && (encodings.size() > 1 || !encodings.getFirst().equalsIgnoreCase("chunked"))) {
            return "framing: an unknown encoding";
        }
        for (HttpString name : headers.getHeaderNames()) {
            for (int at = 0; at < name.length(); at++) {
                if (name.byteAt(at) <= ' ' || name.byteAt(at) > '~') {
                    return "framing: a field's name";
                }
            }
        }
        return null;
    }

    /** Reads a request body. Undertow's own reader closes the connection without a response if the body is too long. */
    private final class BodyReader {
        private final HttpServerExchange exchange;
        private final InboundConnection client;
        private final StreamSourceChannel channel;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);

        BodyReader(HttpServerExchange exchange, InboundConnection client) {
            this.exchange = exchange;
            this.client = client;
            channel = exchange.getRequestChannel();
        }

        void start() {
            if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
                rejectAndClose(client, "413 Payload Too Large", "length: body too long");
                return;
            }
            channel.getReadSetter().set(any -> loop.event("reading a body", this::read));
            read();
        }

        private void read() {
            ByteBuffer buffer = loop.readBuffer();
            try {
                while (client.state() == InboundConnection.State.ARRIVING) {
                    buffer.clear();
                    int byteCount = channel.read(buffer);
                    if (byteCount == 0) {
                        waitForMore();
                        return;
                    }
                    if (byteCount < 0) {
                        channel.suspendReads();
                        pendingBodies.remove(this);
                        client.transitionTo(InboundConnection.State.ASKED);
                        handleBody(exchange, client, bytes.toByteArray());
                        return;
                    }
                    if (bytes.size() + byteCount > limits.maxBodyBytes()) {
                        pendingBodies.remove(this);
                        rejectAndClose(client, "413 Payload Too Large", "length: body too long");
                        return;
                    }
                    byte[] chunk = new byte[byteCount];
                    buffer.flip().get(chunk);
                    bytes.writeBytes(chunk);
                }
            } catch (IOException unreadable) {
                pendingBodies.remove(this);
                rejectAndClose(client, "400 Bad Request", "body: can't be read");
            }
        }

        /**
         * Limits the bodies read concurrently: slow bodies on all connections would fill the heap. The oldest one is
         * rejected.
         */
        private void waitForMore() {
            channel.resumeReads();
            pendingBodies.add(this);
            if (pendingBodies.size() > limits.maxConcurrentBodies()) {
                BodyReader oldest = pendingBodies.iterator().next();
                pendingBodies.remove(oldest);
                rejectAndClose(oldest.client, "408 Request Timeout", "late: too many bodies at once");
            }
        }
    }

    private void handleBody(HttpServerExchange exchange, InboundConnection client, byte[] body) {
        if (requestHandler == null) {
            reject(exchange, 500, "early: not serving yet");
            return;
        }
        PendingResponse pending = new PendingResponse(exchange, client);
        try {
            OpenQuery query = requestHandler.onRequest(exchange, body, pending);
            if (!pending.answered) {
                pending.watchForDisconnect(query);
            }
        } catch (IllegalArgumentException malformed) {
            reject(exchange, 400, malformed.getMessage());
        } catch (RuntimeException fault) {
            pending.respond(500, 0, "fault".getBytes(StandardCharsets.US_ASCII));
            throw fault;
        }
    }

    private void reject(HttpServerExchange exchange, int status, String reason) {
        reportRejected(reason);
        if (isCrowded()) {
            exchange.setPersistent(false);
        }
        sendText(exchange, status, reason);
    }

    private void sendText(HttpServerExchange exchange, int status, String text) {
        if (!exchange.isResponseStarted()) {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
            exchange.getResponseSender().send(text + "\n");
        }
    }

    /** A client that waits for the response to its query. */
    private final class PendingResponse implements OpenQuery.Client {
        private final HttpServerExchange exchange;
        private final HttpServerConnection connection;
        private final InboundConnection client;
        private OpenQuery query;
        private boolean answered;

        PendingResponse(HttpServerExchange exchange, InboundConnection client) {
            this.exchange = exchange;
            this.client = client;
            connection = (HttpServerConnection) exchange.getConnection();
        }

        /**
         * Watches for a disconnect: Undertow reads nothing between a request and its response, so a client that
         * disconnects shows only on the raw channel.
         */
        void watchForDisconnect(OpenQuery submitted) {
            query = submitted;
            connection
                    .getChannel()
                    .getSourceChannel()
                    .setReadListener(any -> loop.event("checking a client connection", this::isConnected));
            client.enableReads();
        }

        @Override
        public boolean isConnected() {
            if (answered) {
                return true;
            }
            switch (client.readAhead(limits.maxHeaderBytes())) {
                case GONE -> onDisconnect();
                case FLOOD -> {
                    answered = true;
                    rejectAndClose(client, "413 Payload Too Large", "flood: much sent ahead of an answer");
                    requestHandler.onCancelled(query);
                }
                default -> {}
            }
            return !answered;
        }

        private void onDisconnect() {
            answered = true;
            client.suspendReads();
            IoUtils.safeClose(connection);
            connections.remove(connection.getChannel());
            requestHandler.onCancelled(query);
        }

        @Override
        public void respond(int status, double retryAfter, byte[] body) {
            if (answered) {
                return;
            }
            answered = true;
            client.suspendReads();
            if (draining || isCrowded()) {
                exchange.setPersistent(false);
            }
            exchange.setStatusCode(status);
            if (retryAfter > 0) {
                exchange.getResponseHeaders()
                        .put(new HttpString("Retry-After"), Double.toString(Math.rint(retryAfter * 1e3) / 1e3));
            }
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, status == 200 ? "application/json" : "text/plain");
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
            if (!exchange.isResponseComplete()) {
                loop.after(
                        limits.responseWriteTimeoutSeconds(),
                        "closing a connection that reads its response too slowly",
                        () -> {
                            if (!exchange.isResponseComplete()) {
                                IoUtils.safeClose(connection);
                            }
                        });
            }
        }
    }
}
