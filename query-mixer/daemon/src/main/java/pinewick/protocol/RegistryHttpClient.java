package pinewick.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import pinewick.loop.EventLoop;
import pinewick.registry.HttpResponseParser;

/**
 * HTTP requests to the members of a registry, each on its own connection or on an idle kept one; responses arrive line
 * by line on the event loop. It makes no decisions.
 */
public final class RegistryHttpClient {
    /** Receives a response. At most one of the failures is reported, and nothing after the request was cancelled. */
    public interface ResponseHandler {
        /** One JSON object; throws IllegalArgumentException if it is malformed. */
        void onLine(String text);

        void onFailure(String reason);

        /** A line exceeded the maximum length. */
        void onTooLong();
    }

    private final EventLoop loop;
    private final List<InetSocketAddress> members;
    private final int maxLineBytes;
    private final Map<Integer, StreamConnection> idleConnections = new LinkedHashMap<>();

    /** @param maxLineBytes longest line of a response */
    public RegistryHttpClient(EventLoop loop, List<InetSocketAddress> members, int maxLineBytes) {
        this.loop = loop;
        this.members = List.copyOf(members);
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Posts a body. With {@code stream} lines arrive until the connection ends, otherwise one. The returned handle
     * cancels the request.
     */
    public Runnable post(int endpoint, String path, String body, boolean stream, ResponseHandler handler) {
        Exchange exchange = new Exchange(endpoint, path, body, stream, handler);
        StreamConnection idle = stream ? null : idleConnections.remove(endpoint);
        if (idle != null && idle.isOpen()) {
            exchange.reused = true;
            exchange.onConnected(idle);
        } else {
            exchange.connect();
        }
        return exchange::close;
    }

    /** One request on one connection. */
    private final class Exchange {
        private final ResponseHandler handler;
        private final int endpoint;
        private final boolean stream;
        private final ByteBuffer request;
        private HttpResponseParser response = new HttpResponseParser(maxLineBytes);
        private StreamConnection connection;
        private boolean reused;
        private boolean receivedAny;
        private boolean isDone;

        Exchange(int endpoint, String path, String body, boolean stream, ResponseHandler handler) {
            this.handler = handler;
            this.endpoint = endpoint;
            this.stream = stream;
            InetSocketAddress member = members.get(endpoint);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            byte[] head = ("POST " + path + " HTTP/1.1\r\nHost: " + member.getHostString() + ':' + member.getPort()
                            + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            request = ByteBuffer.allocate(head.length + content.length)
                    .put(head)
                    .put(content)
                    .flip();
        }

        void connect() {
            loop.thread()
                    .openStreamConnection(
                            members.get(endpoint), null, null, OptionMap.create(Options.TCP_NODELAY, true))
                    .addNotifier(
                            new IoFuture.HandlingNotifier<StreamConnection, Object>() {
                                @Override
                                public void handleDone(StreamConnection channel, Object none) {
                                    loop.later("connecting to a registry member", () -> onConnected(channel));
                                }

                                @Override
                                public void handleFailed(IOException failed, Object none) {
                                    loop.later(
                                            "connecting to a registry member",
                                            () -> fail("not connected: " + failed.getMessage()));
                                }
                            },
                            null);
        }

        void onConnected(StreamConnection channel) {
            connection = channel;
            if (isDone) {
                IoUtils.safeClose(channel);
                return;
            }
            channel.getSourceChannel().setReadListener(any -> loop.event("reading from the registry", this::read));
            channel.getSinkChannel().setWriteListener(any -> loop.event("writing to the registry", this::write));
            channel.getSourceChannel().resumeReads();
            write();
        }

        private void write() {
            if (isDone) {
                return;
            }
            try {
                while (request.hasRemaining()) {
                    if (connection.getSinkChannel().write(request) == 0) {
                        connection.getSinkChannel().resumeWrites();
                        return;
                    }
                }
                connection.getSinkChannel().suspendWrites();
            } catch (IOException broken) {
                loop.later(
                        "connecting to a registry member",
                        () -> onConnectionError("I/O error: " + broken.getMessage()));
            }
        }

        private void read() {
            ByteBuffer buffer = loop.readBuffer();
            try {
                while (!isDone) {
                    buffer.clear();
                    int byteCount = connection.getSourceChannel().read(buffer);
                    if (byteCount < 0) {
                        onConnectionError("closed by the registry member");
                        return;
                    }
                    if (byteCount == 0) {
                        return;
                    }
                    receivedAny = true;
                    // The handler of a line may use the event loop's shared buffer, so it is copied.
                    ByteBuffer copy =
                            ByteBuffer.allocate(byteCount).put(buffer.flip()).flip();
                    response.feed(copy, this::handleLine);
                    if (response.isDone() && !isDone) {
                        fail(stream ? "end of the watch stream" : "empty response");
                    }
                }
            } catch (IOException broken) {
                onConnectionError("I/O error: " + broken.getMessage());
            } catch (HttpResponseParser.TooLargeException oversized) {
                if (!isDone) {
                    close();
                    handler.onTooLong();
                }
            } catch (IllegalArgumentException malformed) {
                boolean wasDone = isDone;
                close();
                if (!wasDone || !stream) {
                    handler.onFailure("unusable: " + malformed.getMessage());
                }
            }
        }

        private void handleLine(String text) {
            if (!isDone) {
                if (!stream) {
                    onComplete();
                }
                handler.onLine(text);
            }
        }

        /** The response is complete; the connection may be reused for the next request. */
        private void onComplete() {
            isDone = true;
            loop.later("keeping a registry connection", () -> {
                if (response.isDone()
                        && response.isKeepAlive()
                        && connection.isOpen()
                        && !idleConnections.containsKey(endpoint)) {
                    connection.getSourceChannel().suspendReads();
                    idleConnections.put(endpoint, connection);
                } else {
                    IoUtils.safeClose(connection);
                }
            });
        }

        /**
         * A kept connection may have been closed by the member meanwhile; this says nothing about the member, so the
         * request is sent again on a new connection.
         */
        private void onConnectionError(String reason) {
            if (reused && !receivedAny && !isDone) {
                reused = false;
                IoUtils.safeClose(connection);
                request.rewind();
                response = new HttpResponseParser(maxLineBytes);
                connect();
            } else {
                fail(reason);
            }
        }

        private void fail(String reason) {
            if (!isDone) {
                close();
                handler.onFailure(reason);
            }
        }

        private void close() {
            isDone = true;
            if (connection != null) {
                IoUtils.safeClose(connection);
            }
        }
    }
}
