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
import pinewick.registry.HttpAnswer;

/**
 * Questions to the members of a registry, each on a connection of its own or on one that stands unused; answers come as
 * lines, on the loop. It decides nothing.
 */
public final class RegistryHttpClient {
    /** Who asked; one of the ends comes once, a dropped question hears nothing more. */
    public interface ResponseHandler {
        /** One JSON object; throws IllegalArgumentException for what is not in the form. */
        void onLine(String text);

        void onFailure(String reason);

        /** A line longer than can be taken. */
        void onTooLong();
    }

    private final EventLoop loop;
    private final List<InetSocketAddress> members;
    private final int longestLine;
    private final Map<Integer, StreamConnection> unused = new LinkedHashMap<>();

    /** @param longestLine bytes of one line of an answer at most */
    public RegistryHttpClient(EventLoop loop, List<InetSocketAddress> members, int longestLine) {
        this.loop = loop;
        this.members = List.copyOf(members);
        this.longestLine = longestLine;
    }

    /** Posts a body; with {@code stream} lines come until the connection ends, else one. The handle drops it. */
    public Runnable post(int endpoint, String path, String body, boolean stream, ResponseHandler handler) {
        Exchange exchange = new Exchange(endpoint, path, body, stream, handler);
        StreamConnection kept = stream ? null : unused.remove(endpoint);
        if (kept != null && kept.isOpen()) {
            exchange.reused = true;
            exchange.up(kept);
        } else {
            exchange.dial();
        }
        return exchange::end;
    }

    /** One question on one connection. */
    private final class Exchange {
        private final ResponseHandler handler;
        private final int endpoint;
        private final boolean stream;
        private final ByteBuffer request;
        private HttpAnswer answer = new HttpAnswer(longestLine);
        private StreamConnection connection;
        private boolean reused;
        private boolean heard;
        private boolean over;

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

        void dial() {
            loop.thread()
                    .openStreamConnection(
                            members.get(endpoint), null, null, OptionMap.create(Options.TCP_NODELAY, true))
                    .addNotifier(
                            new IoFuture.HandlingNotifier<StreamConnection, Object>() {
                                @Override
                                public void handleDone(StreamConnection made, Object none) {
                                    loop.later("a member of the registry", () -> up(made));
                                }

                                @Override
                                public void handleFailed(IOException failed, Object none) {
                                    loop.later(
                                            "a member of the registry",
                                            () -> failed("not connected: " + failed.getMessage()));
                                }
                            },
                            null);
        }

        void up(StreamConnection made) {
            connection = made;
            if (over) {
                IoUtils.safeClose(made);
                return;
            }
            made.getSourceChannel().setReadListener(any -> loop.event("reading from the registry", this::read));
            made.getSinkChannel().setWriteListener(any -> loop.event("asking the registry", this::write));
            made.getSourceChannel().resumeReads();
            write();
        }

        private void write() {
            if (over) {
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
                loop.later("a member of the registry", () -> broke("broke: " + broken.getMessage()));
            }
        }

        private void read() {
            ByteBuffer in = loop.readBuffer();
            try {
                while (!over) {
                    in.clear();
                    int count = connection.getSourceChannel().read(in);
                    if (count < 0) {
                        broke("ended by the member");
                        return;
                    }
                    if (count == 0) {
                        return;
                    }
                    heard = true;
                    // What a line leads to may use the loop's buffer.
                    ByteBuffer mine = ByteBuffer.allocate(count).put(in.flip()).flip();
                    answer.feed(mine, this::line);
                    if (answer.done() && !over) {
                        failed(stream ? "the watch ended" : "an empty answer");
                    }
                }
            } catch (IOException broken) {
                broke("broke: " + broken.getMessage());
            } catch (HttpAnswer.TooLong large) {
                if (!over) {
                    end();
                    handler.onTooLong();
                }
            } catch (IllegalArgumentException odd) {
                boolean told = over;
                end();
                if (!told || !stream) {
                    handler.onFailure("unusable: " + odd.getMessage());
                }
            }
        }

        private void line(String text) {
            if (!over) {
                if (!stream) {
                    finished();
                }
                handler.onLine(text);
            }
        }

        /** The answer is in; the connection may serve the next question. */
        private void finished() {
            over = true;
            loop.later("keeping a connection", () -> {
                if (answer.done() && answer.keepsConnection() && connection.isOpen() && !unused.containsKey(endpoint)) {
                    connection.getSourceChannel().suspendReads();
                    unused.put(endpoint, connection);
                } else {
                    IoUtils.safeClose(connection);
                }
            });
        }

        /** A connection that stood unused may have been closed meanwhile; that says nothing of the member. */
        private void broke(String why) {
            if (reused && !heard && !over) {
                reused = false;
                IoUtils.safeClose(connection);
                request.rewind();
                answer = new HttpAnswer(longestLine);
                dial();
            } else {
                failed(why);
            }
        }

        private void failed(String why) {
            if (!over) {
                end();
                handler.onFailure(why);
            }
        }

        private void end() {
            over = true;
            if (connection != null) {
                IoUtils.safeClose(connection);
            }
        }
    }
}
