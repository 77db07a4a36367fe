package pinewick.wire;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.channels.StreamSourceChannel;
import pinewick.life.Limits;
import pinewick.life.Log;
import pinewick.life.Loop;

/** Follows the list of searchers: a watch from the version in hand, opened again whenever it ends. */
public final class ListWatch {
    private final URI discovery;
    private final Loop loop;
    private final Limits limits;
    private final Log log;
    private final ByteBufferPool buffers;
    private final Consumer<ListText.Piece> news;
    private final Runnable failed;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long revision;
    private boolean wholeFirst;
    private long round;
    private double heardAt;
    private ClientConnection connection;
    private double again;

    public ListWatch(InetSocketAddress discovery, Loop loop, Limits limits, Log log, ByteBufferPool buffers,
                     long revision, Consumer<ListText.Piece> news, Runnable failed) {
        this.discovery = URI.create("http://" + discovery.getAddress().getHostAddress() + ":" + discovery.getPort());
        this.loop = loop;
        this.limits = limits;
        this.log = log;
        this.buffers = buffers;
        this.revision = revision;
        this.wholeFirst = revision <= 0;
        this.news = news;
        this.failed = failed;
    }

    /** Opens a watch, or the whole list first where there is no version to go on from. */
    public void open() {
        long mine = ++round;
        heardAt = loop.now();
        line.reset();
        UndertowClient.getInstance().connect(new OnLoop<ClientConnection>(mine, made -> {
            connection = made;
            ask(mine, made);
        }, IoUtils::safeClose), discovery, loop.thread(), buffers, OptionMap.EMPTY);
        watchSilence(mine);
    }

    private void watchSilence(long mine) {
        loop.after(limits.watchSilence() / 4, "watching the list's silence", () -> {
            if (mine != round) {
                return;
            }
            if (loop.now() - heardAt > limits.watchSilence()) {
                ended(mine, "silent");
            } else {
                watchSilence(mine);
            }
        });
    }

    private void ask(long mine, ClientConnection over) {
        boolean whole = wholeFirst;
        ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath(whole
            ? "/registry/instances" : "/registry/instances?stream=1&index=" + revision);
        request.getRequestHeaders().put(Headers.HOST, discovery.getAuthority());
        over.sendRequest(request, new OnLoop<ClientExchange>(mine, sent ->
            sent.setResponseListener(new OnLoop<ClientExchange>(mine, back -> {
                int status = back.getResponse().getResponseCode();
                if (status != 200) {
                    ended(mine, "status " + status);
                    return;
                }
                StreamSourceChannel body = back.getResponseChannel();
                body.getReadSetter().set(any -> loop.event("reading the list", () -> read(mine, whole, body)));
                body.resumeReads();
                read(mine, whole, body);
            }, any -> { })), any -> { }));
    }

    private void read(long mine, boolean whole, StreamSourceChannel body) {
        if (mine != round) {
            return;
        }
        ByteBuffer in = loop.readBuffer();
        try {
            while (mine == round) {
                in.clear();
                int count = body.read(in);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    if (whole) {
                        entry(line.toString(StandardCharsets.UTF_8));
                        wholeFirst = false;
                    }
                    ended(mine, whole ? null : "ended");
                    return;
                }
                heardAt = loop.now();
                again = 0;
                in.flip();
                while (in.hasRemaining()) {
                    byte one = in.get();
                    if (one != '\n' || whole) {
                        line.write(one);
                        if (line.size() > limits.lineBytes()) {
                            throw new IllegalArgumentException("a line of more than " + limits.lineBytes());
                        }
                    } else {
                        String text = line.toString(StandardCharsets.UTF_8);
                        line.reset();
                        entry(text);
                    }
                }
            }
        } catch (IOException broken) {
            ended(mine, "broke: " + broken.getMessage());
        } catch (RuntimeException malformed) {
            // The list in hand stays; what was in the malformed line comes with the whole one.
            wholeFirst = true;
            ended(mine, "malformed: " + malformed);
        }
    }

    private void entry(String text) {
        if (!text.isBlank()) {
            ListText.Piece piece = ListText.read(text);
            revision = piece.revision();
            news.accept(piece);
        }
    }

    private void ended(long mine, String why) {
        if (mine != round) {
            return;
        }
        round++;
        IoUtils.safeClose(connection);
        connection = null;
        if (why == null) {
            open();
            return;
        }
        log.say("discovery: the watch is over, " + why);
        loop.guarded("telling of a failed watch", failed);
        // Danger: an agent that is down would be asked without pause. Harm: news waits that much longer at most.
        again = Math.max(limits.watchAgain(), Math.min(limits.watchAgainMost(), 2 * again));
        loop.after(again, "opening the watch again", this::open);
    }

    /** A callback of Undertow's client, brought to the loop; what comes for an earlier round is dropped. */
    private final class OnLoop<T> implements ClientCallback<T> {
        private final long mine;
        private final Consumer<T> then;
        private final Consumer<T> late;

        OnLoop(long mine, Consumer<T> then, Consumer<T> late) {
            this.mine = mine;
            this.then = then;
            this.late = late;
        }

        @Override
        public void completed(T result) {
            loop.event("discovery", () -> (mine == round ? then : late).accept(result));
        }

        @Override
        public void failed(IOException wrong) {
            loop.event("discovery", () -> ended(mine, "failed: " + wrong.getMessage()));
        }
    }
}
