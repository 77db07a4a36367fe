package pinewick.protocol;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.channels.StreamSourceChannel;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.Log;

/** Follows the list of searchers: a watch from the version in hand, opened again whenever it ends. */
public final class ReplicaListWatch {
    private URI discovery;
    private final EventLoop loop;
    private final Log log;
    private final ByteBufferPool buffers;
    private final Consumer<ReplicaListJson.Update> news;
    private final Runnable failed;
    private final JsonObjectSplitter cutter;
    private final ReplicaListFreshness freshness;
    private long revision;
    private long round;
    /** Reads what there is of the present answer; null before its head. */
    private Runnable look;

    private boolean reading;
    private ClientConnection connection;
    private String wholeList;
    private String lastCause = "";
    private long sameCause;

    /**
     * @param news is handed each piece that is accepted
     * @param failed runs after each try or watch that ended otherwise than by its whole list
     */
    public ReplicaListWatch(
            InetSocketAddress discovery,
            EventLoop loop,
            Limits limits,
            Log log,
            ByteBufferPool buffers,
            long revision,
            Consumer<ReplicaListJson.Update> news,
            Runnable failed) {
        this.discovery = uri(discovery);
        this.loop = loop;
        this.log = log;
        this.buffers = buffers;
        this.revision = revision;
        this.news = news;
        this.failed = failed;
        freshness = new ReplicaListFreshness(loop.now());
        cutter = new JsonObjectSplitter(
                limits.maxListObjectBytes(), this::object, () -> freshness.line(loop.lastPolledAt(), false));
    }

    private static URI uri(InetSocketAddress at) {
        return URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort());
    }

    /**
     * From now on the list comes from there, from the revision in hand on; the address before is left for good. What
     * was read in part is dropped: the new watch brings it whole. Where the address is the same only a pause is cut.
     */
    public void moveTo(InetSocketAddress address) {
        if (uri(address).equals(discovery) && connection != null) {
            return;
        }
        discovery = uri(address);
        leave();
        freshness.moved(loop.now());
        attend();
    }

    /** Whether a list that was never proven current may be served by, since the agent can't be had. */
    public boolean canServeUnconfirmed() {
        return freshness.canServeUnconfirmed();
    }

    /** Reads at once what the agent has sent, if anything, without waiting for the loop's next look at the sockets. */
    public void readAvailable() {
        if (look != null) {
            loop.guarded("reading the list", look);
        }
    }

    private void leave() {
        round++;
        look = null;
        leave(connection);
        connection = null;
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

    /** Begins to follow the list. */
    public void start() {
        attend();
    }

    /** Does what is due, and comes back when the next thing is. */
    private void attend() {
        switch (freshness.due(loop.now())) {
            case CONNECT -> connect();
            case DISCONNECT -> {
                leave();
                told("silent");
                attend();
                return;
            }
            default -> {}
        }
        long mine = round;
        double at = freshness.dueAt();
        // A time-out, which looks at the sockets first: after this program stood still, lines may be there to be read.
        loop.timeOut(at - loop.now(), "the list's time", () -> {
            if (mine == round) {
                attend();
            }
        });
    }

    private void connect() {
        long mine = ++round;
        look = null;
        cutter.reset();
        wholeList = null;
        UndertowClient.getInstance()
                .connect(
                        new OnLoop<ClientConnection>(
                                mine,
                                made -> {
                                    connection = made;
                                    ask(mine, made);
                                },
                                ReplicaListWatch::leave),
                        discovery,
                        loop.thread(),
                        buffers,
                        OptionMap.EMPTY);
    }

    private void ask(long mine, ClientConnection over) {
        boolean whole = freshness.next() == ReplicaListFreshness.RequestKind.FULL;
        ClientRequest request = new ClientRequest()
                .setMethod(Methods.GET)
                .setPath(whole ? "/registry/instances" : "/registry/instances?stream=1&index=" + revision);
        request.getRequestHeaders().put(Headers.HOST, discovery.getAuthority());
        over.sendRequest(
                request,
                new OnLoop<ClientExchange>(
                        mine,
                        sent -> sent.setResponseListener(new OnLoop<ClientExchange>(
                                mine,
                                back -> {
                                    int status = back.getResponse().getResponseCode();
                                    if (status != 200) {
                                        ended(mine, "status " + status, false);
                                        return;
                                    }
                                    freshness.head();
                                    StreamSourceChannel body = back.getResponseChannel();
                                    look = () -> read(mine, whole, body);
                                    body.getReadSetter()
                                            .set(any -> loop.event("reading the list", () -> read(mine, whole, body)));
                                    body.resumeReads();
                                    read(mine, whole, body);
                                },
                                any -> {})),
                        any -> {}));
    }

    private void read(long mine, boolean whole, StreamSourceChannel body) {
        if (mine != round || reading) {
            return;
        }
        ByteBuffer in = loop.readBuffer();
        reading = true;
        try {
            while (mine == round) {
                in.clear();
                int count = body.read(in);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    if (whole && wholeList != null) {
                        whole(ReplicaListJson.read(wholeList));
                    } else {
                        ended(mine, whole ? "the whole list was cut short" : "ended", false);
                    }
                    return;
                }
                // A copy: what an object brings about may read from other connections into the same buffer.
                byte[] chunk = new byte[count];
                in.flip().get(chunk);
                for (int at = 0; at < count && mine == round; at++) {
                    byte one = chunk[at];
                    if (wholeList != null && one > ' ') {
                        throw new IllegalArgumentException("more than one list in an answer");
                    }
                    cutter.feed(one);
                }
            }
        } catch (IOException broken) {
            ended(mine, "broke: " + broken.getMessage(), false);
        } catch (RuntimeException malformed) {
            // The list in hand stays; what was in the malformed object comes with the whole one.
            ended(mine, "malformed: " + malformed, true);
        } finally {
            reading = false;
        }
    }

    private void object(String text) {
        if (freshness.next() == ReplicaListFreshness.RequestKind.FULL) {
            // Danger: an answer that is reset or cut is no whole list; so it counts only once its end was read.
            wholeList = text;
            return;
        }
        ReplicaListJson.Update piece = ReplicaListJson.read(text);
        freshness.line(loop.lastPolledAt(), true);
        if (!older(piece)) {
            accept(piece);
        }
    }

    private void whole(ReplicaListJson.Update piece) {
        if (!piece.isFull()) {
            throw new IllegalArgumentException("changes where the whole list was asked for");
        }
        if (older(piece)) {
            leave();
            freshness.older(loop.now());
            told("the whole list is an old one");
            attend();
            return;
        }
        leave();
        freshness.whole(loop.now());
        accept(piece);
        attend();
    }

    private void accept(ReplicaListJson.Update piece) {
        revision = piece.revision();
        news.accept(piece);
    }

    /**
     * Danger: an agent that is behind would undo a drain that was told (rule 3). Harm: a registry that was made anew
     * and counts from the start is followed only after this mixer has started again; the log says so.
     */
    private boolean older(ReplicaListJson.Update piece) {
        if (piece.revision() < revision) {
            log.say(
                    Log.Level.WARNING,
                    "discovery",
                    "discovery: revision " + piece.revision() + " is older than " + revision
                            + " in hand and is passed over");
        }
        return piece.revision() < revision;
    }

    private void ended(long mine, String why, boolean spoilt) {
        if (mine != round) {
            return;
        }
        leave();
        freshness.over(loop.now(), spoilt);
        told(why);
        attend();
    }

    /** Danger: an agent that is down would fill the log. So each cause is told once, and later how often it came. */
    private void told(String why) {
        if (why.equals(lastCause)) {
            sameCause++;
        } else {
            log.say(
                    Log.Level.WARNING,
                    "discovery",
                    "discovery: the watch is over, " + why
                            + (sameCause > 0 ? "; before that " + sameCause + " times more: " + lastCause : ""));
            lastCause = why;
            sameCause = 0;
        }
        loop.guarded("telling of a failed watch", failed);
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
            loop.event("discovery", () -> ended(mine, "failed: " + wrong.getMessage(), false));
        }
    }
}
