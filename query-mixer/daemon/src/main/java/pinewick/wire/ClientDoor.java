package pinewick.wire;

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
import pinewick.loop.Limits;
import pinewick.loop.Loop;
import pinewick.state.OpenQuery;

/** Where clients come in: HTTP/1.1 by Undertow, all of it on the loop's thread. */
public final class ClientDoor implements ChannelListener<StreamConnection>, HttpHandler {
    /** Takes a request whose body is in; throws IllegalArgumentException for one that is not in the form. */
    public interface Taker {
        OpenQuery take(HttpServerExchange request, byte[] body, OpenQuery.Client asker);

        /** Takes nothing from now on that could end after this time. */
        void leavesBy(double time);

        void withdrawn(OpenQuery query);

        /** Counts it; the kind of what is wrong stands before the colon. */
        void turnedAway(String why);

        /** A connection in that stage was closed because its place was needed. */
        void madeRoom(String stage);
    }

    private final Loop loop;
    private final Limits limits;
    private final HttpOpenListener undertow;
    private final Map<StreamConnection, Guest> guests = new LinkedHashMap<>();
    private final Set<Body> reading = new LinkedHashSet<>();
    private final Supplier<String> counters;
    private Taker taker;
    private boolean ready;
    private boolean leaving;
    private long accepted;

    public ClientDoor(Loop loop, Limits limits, ByteBufferPool buffers, Supplier<String> counters) {
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
        undertow = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .getMap());
        undertow.setRootHandler(new HttpContinueReadHandler(this));
    }

    public void opens(Taker to) {
        taker = to;
    }

    public void ready(boolean now) {
        ready = now;
    }

    /** Connections accepted so far. */
    public long accepted() {
        return accepted;
    }

    public int connections() {
        return guests.size();
    }

    /** From now on every answer is the last on its connection, and all have to be given by this time. */
    public void leaves(double by) {
        ready = false;
        leaving = true;
        if (taker != null) {
            taker.leavesBy(by);
        }
    }

    /** Ends the connections that stand between two requests; new ones get a moment for their first. */
    public void closeIdle() {
        for (Guest guest : List.copyOf(guests.values())) {
            if (!guest.connection.isOpen()) {
                guests.remove(guest.connection);
            } else if (guest.stage() == Guest.Stage.BETWEEN
                    || (guest.stage() == Guest.Stage.SILENT && guest.age() > limits.lastWords())) {
                closeIfEmpty(guest);
            }
        }
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        loop.event("accepting a client", () -> {
            // Danger: clients would wait at the limit while others hold connections that they do not use.
            int most = limits.clientSockets() - limits.clientSockets() / 16;
            if (guests.size() >= most) {
                look();
            }
            for (int each = 0; each < 4 && guests.size() >= most; each++) {
                makeRoom();
            }
            accepted++;
            guests.put(connection, new Guest(connection, loop));
            undertow.handleEvent(connection);
        });
    }

    /**
     * Closes one connection that is not in use: of those kept between two requests for long first, then of those
     * silent for long, then of requests that have long been on their way in, then of any silent and any kept; the
     * oldest. Danger: clients that connect some time before they ask would be turned out by a crowd.
     */
    private void makeRoom() {
        Guest first = null;
        int best = Integer.MAX_VALUE;
        for (Guest guest : guests.values()) {
            int rank =
                    switch (guest.stage()) {
                        case SILENT -> guest.age() > limits.silentLeast() ? 1 : 3;
                        case BETWEEN -> guest.age() > limits.clientIdleLeast() ? 0 : 4;
                        case ARRIVING -> guest.age() > limits.requestLeast() ? 2 : Integer.MAX_VALUE;
                        default -> Integer.MAX_VALUE;
                    };
            if (rank < best || (rank == best && first != null && guest.age() > first.age())) {
                best = rank;
                first = guest;
            }
        }
        if (first != null && taker != null) {
            taker.madeRoom(first.stage().name().toLowerCase(Locale.ROOT));
        }
        if (first != null && first.stage() == Guest.Stage.ARRIVING) {
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
        return guests.size() > limits.clientSockets() / limits.crowdedPart();
    }

    /**
     * What comes between this look and the close is read and thrown away: its client asks again, as it got no answer.
     */
    private void closeIfEmpty(Guest guest) {
        if (guest.empty()) {
            end(guest, "");
        }
    }

    private void end(Guest guest, String lastWords) {
        guest.end(lastWords, limits.lastWords(), limits.discardBytes(), () -> guests.remove(guest.connection));
    }

    /** Forgets connections that are closed and ends those that wait for nothing; to be called now and then. */
    public void look() {
        for (Guest guest : List.copyOf(guests.values())) {
            if (!guest.connection.isOpen()) {
                if (guest.stage() == Guest.Stage.ARRIVING && !guest.asked) {
                    said("head: not HTTP");
                }
                guests.remove(guest.connection);
            } else if (guest.stage() == Guest.Stage.SILENT && guest.age() > limits.silent()) {
                said("silent: no request");
                closeIfEmpty(guest);
            } else if (guest.stage() == Guest.Stage.BETWEEN && guest.age() > limits.clientIdle()) {
                closeIfEmpty(guest);
            } else if (guest.stage() == Guest.Stage.ARRIVING && guest.age() > limits.requestRead()) {
                turnOut(guest, "408 Request Timeout", "late: the request did not come whole");
            }
        }
        reading.removeIf(each -> !each.guest.connection.isOpen());
    }

    /** The last answer on a connection that nothing more is taken from. */
    private void turnOut(Guest guest, String status, String why) {
        if (guest.stage() == Guest.Stage.LEAVING) {
            return;
        }
        said(why);
        end(guest, "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    private void said(String why) {
        if (taker != null) {
            taker.turnedAway(why);
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
        Guest guest = guests.get(connection);
        guest.asked = true;
        guest.becomes(Guest.Stage.ARRIVING);
        exchange.addExchangeCompleteListener((done, next) -> {
            guest.becomes(done.isPersistent() ? Guest.Stage.BETWEEN : Guest.Stage.LEAVING);
            if (!connection.isOpen()) {
                guests.remove(connection);
            } else if (!done.isPersistent()) {
                // Undertow shuts the output and reads on for the client's close, but for ten seconds.
                loop.after(limits.lastWords(), "closing after the last answer", () -> {
                    IoUtils.safeClose(connection);
                    guests.remove(connection);
                });
            }
            next.proceed();
        });
        String odd = framing(exchange.getRequestHeaders());
        if (odd != null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> turnOut(guest, "400 Bad Request", odd));
            return;
        }
        if (leaving) {
            exchange.setPersistent(false);
        }
        boolean post = exchange.getRequestMethod().equals(Methods.POST);
        if (post && exchange.getRequestPath().equals("/api")) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> loop.event("reading a body", new Body(exchange, guest)::start));
            return;
        }
        if (exchange.getRequestContentLength() > 0
                || exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            // Undertow would read such a body to its end, however long.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> turnOut(guest, "404 Not Found", "path: with a body"));
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
        private final Guest guest;
        private final StreamSourceChannel channel;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);

        Body(HttpServerExchange exchange, Guest guest) {
            this.exchange = exchange;
            this.guest = guest;
            channel = exchange.getRequestChannel();
        }

        void start() {
            if (exchange.getRequestContentLength() > limits.bodyBytes()) {
                turnOut(guest, "413 Payload Too Large", "length: body too long");
                return;
            }
            channel.getReadSetter().set(any -> loop.event("reading a body", this::read));
            read();
        }

        private void read() {
            ByteBuffer in = loop.readBuffer();
            try {
                while (guest.stage() == Guest.Stage.ARRIVING) {
                    in.clear();
                    int count = channel.read(in);
                    if (count == 0) {
                        waitForMore();
                        return;
                    }
                    if (count < 0) {
                        channel.suspendReads();
                        reading.remove(this);
                        guest.becomes(Guest.Stage.ASKED);
                        take(exchange, guest, bytes.toByteArray());
                        return;
                    }
                    if (bytes.size() + count > limits.bodyBytes()) {
                        reading.remove(this);
                        turnOut(guest, "413 Payload Too Large", "length: body too long");
                        return;
                    }
                    byte[] more = new byte[count];
                    in.flip().get(more);
                    bytes.writeBytes(more);
                }
            } catch (IOException unreadable) {
                reading.remove(this);
                turnOut(guest, "400 Bad Request", "body: can't be read");
            }
        }

        /** Danger: bodies that come slowly on all connections at once would fill the heap; the oldest one leaves. */
        private void waitForMore() {
            channel.resumeReads();
            reading.add(this);
            if (reading.size() > limits.bodiesAtOnce()) {
                Body oldest = reading.iterator().next();
                reading.remove(oldest);
                turnOut(oldest.guest, "408 Request Timeout", "late: too many bodies at once");
            }
        }
    }

    private void take(HttpServerExchange exchange, Guest guest, byte[] body) {
        if (taker == null) {
            refuse(exchange, 500, "early: not serving yet");
            return;
        }
        Waiting waiting = new Waiting(exchange, guest);
        try {
            OpenQuery query = taker.take(exchange, body, waiting);
            if (!waiting.answered) {
                waiting.watch(query);
            }
        } catch (IllegalArgumentException wrong) {
            refuse(exchange, 400, wrong.getMessage());
        } catch (RuntimeException fault) {
            waiting.respond(500, 0, "fault".getBytes(StandardCharsets.US_ASCII));
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
    private final class Waiting implements OpenQuery.Client {
        private final HttpServerExchange exchange;
        private final HttpServerConnection connection;
        private final Guest guest;
        private OpenQuery query;
        private boolean answered;

        Waiting(HttpServerExchange exchange, Guest guest) {
            this.exchange = exchange;
            this.guest = guest;
            connection = (HttpServerConnection) exchange.getConnection();
        }

        /** Undertow reads nothing between a request and its answer; a client that leaves shows only there. */
        void watch(OpenQuery asked) {
            query = asked;
            connection
                    .getChannel()
                    .getSourceChannel()
                    .setReadListener(any -> loop.event("a client's connection", this::isConnected));
            guest.listen();
        }

        @Override
        public boolean isConnected() {
            if (answered) {
                return true;
            }
            switch (guest.look(limits.headerBytes())) {
                case GONE -> gone();
                case FLOOD -> {
                    answered = true;
                    turnOut(guest, "413 Payload Too Large", "flood: much sent ahead of an answer");
                    taker.withdrawn(query);
                }
                default -> {}
            }
            return !answered;
        }

        private void gone() {
            answered = true;
            guest.suspendReads();
            IoUtils.safeClose(connection);
            guests.remove(connection.getChannel());
            taker.withdrawn(query);
        }

        @Override
        public void respond(int status, double retryAfter, byte[] body) {
            if (answered) {
                return;
            }
            answered = true;
            guest.suspendReads();
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
                loop.after(limits.answerWrite(), "a slow reader", () -> {
                    if (!exchange.isResponseComplete()) {
                        IoUtils.safeClose(connection);
                    }
                });
            }
        }
    }
}
