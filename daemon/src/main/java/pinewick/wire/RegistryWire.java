package pinewick.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import pinewick.life.Loop;
import pinewick.registry.Answer;
import pinewick.registry.EtcdText;
import pinewick.registry.HttpAnswer;
import pinewick.registry.RegistrySession;
import pinewick.registry.Step;

/**
 * Puts a session's questions to the registry's members, each on a connection of its own or on one that stands unused,
 * and brings the answers to the loop. It decides nothing: what ends badly is told to the session.
 */
public final class RegistryWire implements RegistrySession.Wire {
    private final Loop loop;
    private final List<InetSocketAddress> members;
    private final String prefix;
    private final int longestLine;
    private final Consumer<Step> steps;
    private final Consumer<String> log;
    private final Map<Long, Exchange> open = new LinkedHashMap<>();
    private final Map<Integer, StreamConnection> unused = new LinkedHashMap<>();
    private RegistrySession session;

    /** @param longestLine bytes of one line of an answer at most */
    public RegistryWire(Loop loop, List<InetSocketAddress> members, String prefix, int longestLine,
                        Consumer<Step> steps, Consumer<String> log) {
        this.loop = loop;
        this.members = List.copyOf(members);
        this.prefix = prefix;
        this.longestLine = longestLine;
        this.steps = steps;
        this.log = log;
    }

    /** Starts to follow and goes on until the loop ends. */
    public void follow(RegistrySession by, double tick) {
        session = by;
        session.start(loop.now());
        ticks(tick);
    }

    private void ticks(double tick) {
        loop.after(tick, "following the registry", () -> {
            session.tick(loop.now());
            ticks(tick);
        });
    }

    @Override
    public void read(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        ask(question, endpoint, EtcdText.RANGE, EtcdText.read(from, prefix, atRevision, limit, keysOnly), false);
    }

    @Override
    public void probe(long question, int endpoint) {
        ask(question, endpoint, EtcdText.RANGE, EtcdText.probe(prefix), false);
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        ask(question, endpoint, EtcdText.WATCH, EtcdText.watch(prefix, fromRevision), true);
    }

    @Override
    public void drop(long question) {
        Exchange exchange = open.remove(question);
        if (exchange != null) {
            exchange.end();
        }
    }

    @Override
    public void step(Step step) {
        steps.accept(step);
    }

    @Override
    public void say(String text) {
        log.accept("registry: " + text);
    }

    private void ask(long question, int endpoint, String path, String body, boolean stream) {
        Exchange exchange = new Exchange(question, endpoint, path, body, stream);
        open.put(question, exchange);
        StreamConnection kept = stream ? null : unused.remove(endpoint);
        if (kept != null && kept.isOpen()) {
            exchange.reused = true;
            exchange.up(kept);
        } else {
            exchange.dial();
        }
    }

    /** One question on one connection. */
    private final class Exchange {
        private final long question;
        private final int endpoint;
        private final boolean stream;
        private final ByteBuffer request;
        private HttpAnswer answer = new HttpAnswer(longestLine);
        private StreamConnection connection;
        private boolean reused;
        private boolean heard;
        private boolean over;

        Exchange(long question, int endpoint, String path, String body, boolean stream) {
            this.question = question;
            this.endpoint = endpoint;
            this.stream = stream;
            InetSocketAddress member = members.get(endpoint);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            byte[] head = ("POST " + path + " HTTP/1.1\r\nHost: " + member.getHostString() + ':' + member.getPort()
                + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
            request = ByteBuffer.allocate(head.length + content.length).put(head).put(content).flip();
        }

        void dial() {
            loop.thread().openStreamConnection(members.get(endpoint), null, null,
                OptionMap.create(Options.TCP_NODELAY, true)).addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Object>() {
                    @Override
                    public void handleDone(StreamConnection made, Object none) {
                        loop.later("a member of the registry", () -> up(made));
                    }

                    @Override
                    public void handleFailed(IOException failed, Object none) {
                        loop.later("a member of the registry", () -> failed("not connected: " + failed.getMessage()));
                    }
                }, null);
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
                        finished();
                    }
                }
            } catch (IOException broken) {
                broke("broke: " + broken.getMessage());
            } catch (HttpAnswer.TooLong large) {
                if (!over) {
                    open.remove(question);
                    end();
                    session.tooLong(loop.now(), question);
                }
            } catch (IllegalArgumentException odd) {
                failed("unusable: " + odd.getMessage());
            }
        }

        private void line(String text) {
            if (!over) {
                Answer given = EtcdText.answer(text);
                if (!stream) {
                    finished();
                }
                session.answered(loop.now(), question, given);
            }
        }

        /** The answer is in; the connection may serve the next question. */
        private void finished() {
            if (stream) {
                failed("the watch ended");
                return;
            }
            over = true;
            open.remove(question);
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
                open.remove(question);
                end();
                session.failed(loop.now(), question, why);
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
