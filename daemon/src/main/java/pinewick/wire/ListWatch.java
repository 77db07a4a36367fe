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
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;

/** Follows the list of searchers: a watch from the version in hand, opened again whenever it ends. */
public final class ListWatch {
    private URI discovery;
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
    private boolean heard;
    private ClientConnection connection;
    private double again;
    private double hurryUntil = Double.NEGATIVE_INFINITY;

    public ListWatch(InetSocketAddress discovery, Loop loop, Limits limits, Log log, ByteBufferPool buffers,
                     long revision, Consumer<ListText.Piece> news, Runnable failed) {
        this.discovery = uri(discovery);
        this.loop = loop;
        this.limits = limits;
        this.log = log;
        this.buffers = buffers;
        this.revision = revision;
        this.wholeFirst = revision <= 0;
        this.news = news;
        this.failed = failed;
    }

    private static URI uri(InetSocketAddress at) {
        return URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort());
    }

    /**
     * From now on the list comes from there, from the revision in hand on; the address before is left for good. What
     * was read in part is dropped: the new watch brings it whole. Where the address is the same only a pause is cut.
     */
    public void moveTo(InetSocketAddress address) {
        hurryUntil = loop.now() + limits.watchHurry();
        boolean moved = !uri(address).equals(discovery);
        if (!moved && connection != null) {
            return;
        }
        discovery = uri(address);
        round++;
        leave(connection);
        connection = null;
        again = 0;
        open();
    }

    /**
     * Danger: Undertow's client closes by reading on for 10 s, and the agent left would tell into nothing and keep its
     * connection. So the connection under it is taken back and closed at once. Harm: none, nothing more is wanted.
     */
    private static void leave(ClientConnection left) {
        try {
            IoUtils.safeClose(left == null ? null : left.performUpgrade());
        } catch (IOException closedBefore) {
            IoUtils.safeClose(left);
        }
    }

    /** Opens a watch, or the whole list first where there is no version to go on from. */
    public void open() {
        long mine = ++round;
        heardAt = loop.now();
        heard = false;
        line.reset();
        UndertowClient.getInstance().connect(new OnLoop<ClientConnection>(mine, made -> {
            connection = made;
            ask(mine, made);
        }, ListWatch::leave), discovery, loop.thread(), buffers, OptionMap.EMPTY);
        watchSilence(mine);
    }

    private void watchSilence(long mine) {
        loop.after(limits.watchUp() / 4, "watching the list's silence", () -> {
            if (mine != round) {
                return;
            }
            // An agent answers at once, so one that has said nothing at all is left sooner than one that fell silent.
            if (loop.now() - heardAt > (heard ? limits.watchSilence() : limits.watchUp())) {
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
                heard = true;
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
        leave(connection);
        connection = null;
        if (why == null) {
            open();
            return;
        }
        log.say(Log.Level.WARNING, "discovery", "discovery: the watch is over, " + why);
        loop.guarded("telling of a failed watch", failed);
        // Danger: an agent that is down would be asked without pause. Harm: news waits that much longer at most, so
        // there are only short pauses after a new address was told, while this mixer already counts as told.
        again = loop.now() < hurryUntil ? limits.watchAgain()
            : Math.max(limits.watchAgain(), Math.min(limits.watchAgainMost(), 2 * again));
        long next = round;
        loop.after(again, "opening the watch again", () -> {
            if (next == round) {
                open();
            }
        });
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
