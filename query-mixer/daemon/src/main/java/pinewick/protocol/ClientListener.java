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
import pinewick.memory.OpenQuery;

/** Where clients come in: HTTP/1.1 by Undertow, all of it on the loop's thread. */
public final class ClientListener implements ChannelListener<StreamConnection>, HttpHandler {
    /** Takes a request whose body is in; throws IllegalArgumentException for one that is not in the form. */
    public interface RequestHandler {
        OpenQuery onRequest(HttpServerExchange request, byte[] body, OpenQuery.Asker asker);

        /** Takes nothing from now on that could end after this time. */
        void onDrain(double time);

        void onCancelled(OpenQuery query);

        /** Counts it; the kind of what is wrong stands before the colon. */
        void onRejected(String why);

        /** A connection in that stage was closed because its place was needed. */
        void onEvicted(String stage);
    }

    private final EventLoop loop;
    private final Limits limits;
    private final HttpOpenListener undertow;
    private final Map<StreamConnection, InboundConnection> connections = new LinkedHashMap<>();
    private final Set<Body> reading = new LinkedHashSet<>();
    private final Supplier<String> counters;
    private RequestHandler requestHandler;
    private boolean ready;
    private boolean leaving;
    private long accepted;

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

    public void setRequestHandler(RequestHandler to) {
        requestHandler = to;
    }

    public void setReady(boolean now) {
        ready = now;
    }

    /** Connections accepted so far. */
    public long acceptedCount() {
        return accepted;
    }

    public int connectionCount() {
        return connections.size();
    }

    /** From now on every answer is the last on its connection, and all have to be given by this time. */
    public void startDraining(double by) {
        ready = false;
        leaving = true;
        if (requestHandler != null) {
            requestHandler.onDrain(by);
        }
    }

    /** Ends the connections that stand between two requests; new ones get a moment for their first. */
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
            // Danger: clients would wait at the limit while others hold connections that they do not use.
            int most = limits.maxClientConnections() - limits.maxClientConnections() / 16;
            if (connections.size() >= most) {
                enforceTimeouts();
            }
            for (int each = 0; each < 4 && connections.size() >= most; each++) {
                makeRoom();
            }
            accepted++;
            connections.put(connection, new InboundConnection(connection, loop));
            undertow.handleEvent(connection);
        });
    }

    /**
     * Closes one connection that is not in use: of those kept between two requests for long first, then of those
     * silent for long, then of requests that have long been on their way in, then of any silent and any kept; the
     * oldest. Danger: clients that connect some time before they ask would be turned out by a crowd.
     */
    private void makeRoom() {
        InboundConnection first = null;
        int best = Integer.MAX_VALUE;
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
            if (rank < best || (rank == best && first != null && client.stateAgeSeconds() > first.stateAgeSeconds())) {
                best = rank;
                first = client;
            }
        }
        if (first != null && requestHandler != null) {
            requestHandler.onEvicted(first.state().name().toLowerCase(Locale.ROOT));
        }
        if (first != null && first.state() == InboundConnection.State.ARRIVING) {
            turnOut(first, "408 Request Timeout", "late: the place is needed");
        } else if (first != null) {
            closeIfEmpty(first);
        }
    }

    /**
     * Danger: clients that ask once and keep their connection for good use up what clients have for all their requests,
     * and others find no connection while this mixer idles. Also catches crowds. Harm: a connect more for each request.
     */
    private boolean crowded() {
        return connections.size() > limits.maxClientConnections() / limits.crowdedDivisor();
    }

    /**
     * What comes between this look and the close is read and thrown away: its client asks again, as it got no answer.
     */
    private void closeIfEmpty(InboundConnection client) {
        if (client.isEmpty()) {
            end(client, "");
        }
    }

    private void end(InboundConnection client, String finalResponse) {
        client.closeGracefully(
                finalResponse,
                limits.lingerSeconds(),
                limits.maxDiscardBytes(),
                () -> connections.remove(client.connection));
    }

    /** Forgets connections that are closed and ends those that wait for nothing; to be called now and then. */
    public void enforceTimeouts() {
        for (InboundConnection client : List.copyOf(connections.values())) {
            if (!client.connection.isOpen()) {
                if (client.state() == InboundConnection.State.ARRIVING && !client.requestSeen) {
                    said("head: not HTTP");
                }
                connections.remove(client.connection);
            } else if (client.state() == InboundConnection.State.SILENT
                    && client.stateAgeSeconds() > limits.noRequestTimeoutSeconds()) {
                said("silent: no request");
                closeIfEmpty(client);
            } else if (client.state() == InboundConnection.State.BETWEEN
                    && client.stateAgeSeconds() > limits.clientIdleTimeoutSeconds()) {
                closeIfEmpty(client);
            } else if (client.state() == InboundConnection.State.ARRIVING
                    && client.stateAgeSeconds() > limits.requestReadTimeoutSeconds()) {
                turnOut(client, "408 Request Timeout", "late: the request did not come whole");
            }
        }
        reading.removeIf(each -> !each.client.connection.isOpen());
    }

    /** The last answer on a connection that nothing more is taken from. */
    private void turnOut(InboundConnection client, String status, String why) {
        if (client.state() == InboundConnection.State.LEAVING) {
            return;
        }
        said(why);
        end(client, "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    private void said(String why) {
        if (requestHandler != null) {
            requestHandler.onRejected(why);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        loop.event("handling a request", () -> {
            try {
                begin(exchange);
            } catch (RuntimeException fault) {
                plain(exchange, 500, "fault");
                throw fault;
            }
        });
    }

    private void begin(HttpServerExchange exchange) {
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
                // Undertow shuts the output and reads on for the client's close, but for ten seconds.
                loop.after(limits.lingerSeconds(), "closing after the last answer", () -> {
                    IoUtils.safeClose(connection);
                    connections.remove(connection);
                });
            }
            next.proceed();
        });
        String odd = framing(exchange.getRequestHeaders());
        if (odd != null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> turnOut(client, "400 Bad Request", odd));
            return;
        }
        if (leaving) {
            exchange.setPersistent(false);
        }
        boolean post = exchange.getRequestMethod().equals(Methods.POST);
        if (post && exchange.getRequestPath().equals("/api")) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> loop.event("reading a body", new Body(exchange, client)::start));
            return;
        }
        if (exchange.getRequestContentLength() > 0
                || exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            // Undertow would read such a body to its end, however long.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> turnOut(client, "404 Not Found", "path: with a body"));
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/api" -> {
                exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
                refuse(exchange, 405, "method: only POST here");
            }
            case "/health/ready" -> plain(exchange, ready ? 200 : 500, ready ? "ready" : "not ready");
            case "/health/live" -> plain(exchange, 200, "live");
            case "/counters" -> plain(exchange, 200, counters.get());
            default -> refuse(exchange, 404, "path: no such path");
        }
    }

    /**
     * What is wrong with how a request says where it ends; null where nothing is. Danger: a body that two readers end
     * at different places may hide another request, which would then be run. So nothing more is read from there.
     */
    private static String framing(HeaderMap headers) {
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

    /** A request's body on its way in. Undertow's own reader ends the connection of one too long unanswered. */
    private final class Body {
        private final HttpServerExchange exchange;
        private final InboundConnection client;
        private final StreamSourceChannel channel;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);

        Body(HttpServerExchange exchange, InboundConnection client) {
            this.exchange = exchange;
            this.client = client;
            channel = exchange.getRequestChannel();
        }

        void start() {
            if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
                turnOut(client, "413 Payload Too Large", "length: body too long");
                return;
            }
            channel.getReadSetter().set(any -> loop.event("reading a body", this::read));
            read();
        }

        private void read() {
            ByteBuffer in = loop.readBuffer();
            try {
                while (client.state() == InboundConnection.State.ARRIVING) {
                    in.clear();
                    int count = channel.read(in);
                    if (count == 0) {
                        waitForMore();
                        return;
                    }
                    if (count < 0) {
                        channel.suspendReads();
                        reading.remove(this);
                        client.transitionTo(InboundConnection.State.ASKED);
                        take(exchange, client, bytes.toByteArray());
                        return;
                    }
                    if (bytes.size() + count > limits.maxBodyBytes()) {
                        reading.remove(this);
                        turnOut(client, "413 Payload Too Large", "length: body too long");
                        return;
                    }
                    byte[] more = new byte[count];
                    in.flip().get(more);
                    bytes.writeBytes(more);
                }
            } catch (IOException unreadable) {
                reading.remove(this);
                turnOut(client, "400 Bad Request", "body: can't be read");
            }
        }

        /** Danger: bodies that come slowly on all connections at once would fill the heap; the oldest one leaves. */
        private void waitForMore() {
            channel.resumeReads();
            reading.add(this);
            if (reading.size() > limits.maxConcurrentBodies()) {
                Body oldest = reading.iterator().next();
                reading.remove(oldest);
                turnOut(oldest.client, "408 Request Timeout", "late: too many bodies at once");
            }
        }
    }

    private void take(HttpServerExchange exchange, InboundConnection client, byte[] body) {
        if (requestHandler == null) {
            refuse(exchange, 500, "early: not serving yet");
            return;
        }
        Waiting waiting = new Waiting(exchange, client);
        try {
            OpenQuery query = requestHandler.onRequest(exchange, body, waiting);
            if (!waiting.answered) {
                waiting.watch(query);
            }
        } catch (IllegalArgumentException wrong) {
            refuse(exchange, 400, wrong.getMessage());
        } catch (RuntimeException fault) {
            waiting.answer(500, 0, "fault".getBytes(StandardCharsets.US_ASCII));
            throw fault;
        }
    }

    private void refuse(HttpServerExchange exchange, int status, String why) {
        said(why);
        if (crowded()) {
            exchange.setPersistent(false);
        }
        plain(exchange, status, why);
    }

    private void plain(HttpServerExchange exchange, int status, String text) {
        if (!exchange.isResponseStarted()) {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
            exchange.getResponseSender().send(text + "\n");
        }
    }

    /** A client that waits for the answer to its query. */
    private final class Waiting implements OpenQuery.Asker {
        private final HttpServerExchange exchange;
        private final HttpServerConnection connection;
        private final InboundConnection client;
        private OpenQuery query;
        private boolean answered;

        Waiting(HttpServerExchange exchange, InboundConnection client) {
            this.exchange = exchange;
            this.client = client;
            connection = (HttpServerConnection) exchange.getConnection();
        }

        /** Undertow reads nothing between a request and its answer; a client that leaves shows only there. */
        void watch(OpenQuery asked) {
            query = asked;
            connection
                    .getChannel()
                    .getSourceChannel()
                    .setReadListener(any -> loop.event("a client's connection", this::stillThere));
            client.enableReads();
        }

        @Override
        public boolean stillThere() {
            if (answered) {
                return true;
            }
            switch (client.readAhead(limits.maxHeaderBytes())) {
                case GONE -> gone();
                case FLOOD -> {
                    answered = true;
                    turnOut(client, "413 Payload Too Large", "flood: much sent ahead of an answer");
                    requestHandler.onCancelled(query);
                }
                default -> {}
            }
            return !answered;
        }

        private void gone() {
            answered = true;
            client.suspendReads();
            IoUtils.safeClose(connection);
            connections.remove(connection.getChannel());
            requestHandler.onCancelled(query);
        }

        @Override
        public void answer(int status, double retryAfter, byte[] body) {
            if (answered) {
                return;
            }
            answered = true;
            client.suspendReads();
            if (leaving || crowded()) {
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
                loop.after(limits.responseWriteTimeoutSeconds(), "a slow reader", () -> {
                    if (!exchange.isResponseComplete()) {
                        IoUtils.safeClose(connection);
                    }
                });
            }
        }
    }
}
