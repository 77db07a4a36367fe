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

/** Follows the replica list of the discovery service: a watch from the current revision, reopened whenever it ends. */
public final class ReplicaListWatch {
    private URI discovery;
    private final EventLoop loop;
    private final Log log;
    private final ByteBufferPool buffers;
    private final Consumer<ReplicaListJson.Update> onUpdate;
    private final Runnable onWatchFailure;
    private final JsonObjectSplitter splitter;
    private final ReplicaListFreshness freshness;
    private long revision;
    private long generation;
    /** Reads what is available of the current response; null before its head has arrived. */
    private Runnable readTask;

    private boolean reading;
    private ClientConnection connection;
    private String fullList;
    private String lastReason = "";
    private long sameReasonCount;

    /**
     * @param onUpdate receives each accepted update
     * @param onWatchFailure runs after each request or watch that ended other than by a complete list
     */
    public ReplicaListWatch(
            InetSocketAddress discovery,
            EventLoop loop,
            Limits limits,
            Log log,
            ByteBufferPool buffers,
            long revision,
            Consumer<ReplicaListJson.Update> onUpdate,
            Runnable onWatchFailure) {
        this.discovery = uri(discovery);
        this.loop = loop;
        this.log = log;
        this.buffers = buffers;
        this.revision = revision;
        this.onUpdate = onUpdate;
        this.onWatchFailure = onWatchFailure;
        freshness = new ReplicaListFreshness(loop.now());
        splitter = new JsonObjectSplitter(
                limits.maxListObjectBytes(), this::handleObject, () -> freshness.onLine(loop.lastPolledAt(), false));
    }

    private static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
    }

    /**
     * Switches to another discovery address, continuing from the current revision. A partly read object is dropped: the
     * new watch delivers it completely. With an unchanged address only a pause between attempts is cut short.
     */
    public void moveTo(InetSocketAddress address) {
        if (uri(address).equals(discovery) && connection != null) {
            return;
        }
        discovery = uri(address);
        disconnect();
        freshness.onAddressChange(loop.now());
        performDueAction();
    }

    /** Whether a list that was never confirmed as current may be served, because the discovery agent is unreachable. */
    public boolean canServeUnconfirmed() {
        return freshness.canServeUnconfirmed();
    }

    /** Reads at once what the agent has sent, if anything, without waiting for the event loop to poll the sockets. */
    public void readAvailable() {
        if (readTask != null) {
            loop.guarded("reading the replica list", readTask);
        }
    }

    private void disconnect() {
        generation++;
        readTask = null;
        disconnect(connection);
        connection = null;
    }

    /**
     * Undertow's client closes a connection by draining it for up to 10 s, during which the abandoned agent would keep
     * sending and hold its connection. So the underlying connection is taken over and closed at once; nothing more is
     * wanted from it.
     */
    private static void disconnect(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection == null ? null : connection.performUpgrade());
        } catch (IOException closedBefore) {
            IoUtils.safeClose(connection);
        }
    }

    /** Starts to follow the list. */
    public void start() {
        performDueAction();
    }

    /** Performs the action that is due and schedules the next check. */
    private void performDueAction() {
        switch (freshness.dueAction(loop.now())) {
            case CONNECT -> connect();
            case DISCONNECT -> {
                disconnect();
                onWatchEnded("silent");
                performDueAction();
                return;
            }
            default -> {}
        }
        long ownGeneration = generation;
        double dueAt = freshness.dueAt();
        // A timeout, which polls the sockets first: after this process was paused, lines may be waiting to be read.
        loop.timeOut(dueAt - loop.now(), "checking the replica list", () -> {
            if (ownGeneration == generation) {
                performDueAction();
            }
        });
    }

    private void connect() {
        long ownGeneration = ++generation;
        readTask = null;
        splitter.reset();
        fullList = null;
        UndertowClient.getInstance()
                .connect(
                        new EventLoopCallback<ClientConnection>(
                                ownGeneration,
                                newConnection -> {
                                    connection = newConnection;
                                    sendRequest(ownGeneration, newConnection);
                                },
                                ReplicaListWatch::disconnect),
                        discovery,
                        loop.thread(),
                        buffers,
                        OptionMap.EMPTY);
    }

    private void sendRequest(long ownGeneration, ClientConnection target) {
        boolean isFull = freshness.nextRequest() == ReplicaListFreshness.RequestKind.FULL;
        ClientRequest request = new ClientRequest()
                .setMethod(Methods.GET)
                .setPath(isFull ? "/registry/instances" : "/registry/instances?stream=1&index=" + revision);
        request.getRequestHeaders().put(Headers.HOST, discovery.getAuthority());
        target.sendRequest(
                request,
                new EventLoopCallback<ClientExchange>(
                        ownGeneration,
                        sent -> sent.setResponseListener(new EventLoopCallback<ClientExchange>(
                                ownGeneration,
                                response -> {
                                    int status = response.getResponse().getResponseCode();
                                    if (status != 200) {
                                        onStreamEnded(ownGeneration, "status " + status, false);
                                        return;
                                    }
                                    freshness.onWatchOpened();
                                    StreamSourceChannel body = response.getResponseChannel();
                                    readTask = () -> read(ownGeneration, isFull, body);
                                    body.getReadSetter()
                                            .set(any -> loop.event(
                                                    "reading the replica list",
                                                    () -> read(ownGeneration, isFull, body)));
                                    body.resumeReads();
                                    read(ownGeneration, isFull, body);
                                },
                                any -> {})),
                        any -> {}));
    }

    private void read(long ownGeneration, boolean isFull, StreamSourceChannel body) {
        if (ownGeneration != generation || reading) {
            return;
        }
        ByteBuffer buffer = loop.readBuffer();
        reading = true;
        try {
            while (ownGeneration == generation) {
                buffer.clear();
                int byteCount = body.read(buffer);
                if (byteCount == 0) {
                    return;
                }
                if (byteCount < 0) {
                    if (isFull && fullList != null) {
                        handleFullList(ReplicaListJson.read(fullList));
                    } else {
                        onStreamEnded(ownGeneration, isFull ? "the full list was truncated" : "ended", false);
                    }
                    return;
                }
                // Copied, because handling an object may read from other connections into the same buffer.
                byte[] chunk = new byte[byteCount];
                buffer.flip().get(chunk);
                for (int at = 0; at < byteCount && ownGeneration == generation; at++) {
                    byte next = chunk[at];
                    if (fullList != null && next > ' ') {
                        throw new IllegalArgumentException("more than one list in a response");
                    }
                    splitter.feed(next);
                }
            }
        } catch (IOException broken) {
            onStreamEnded(ownGeneration, "I/O error: " + broken.getMessage(), false);
        } catch (RuntimeException malformed) {
            // The current list stays in force; the content of the malformed object arrives with the complete list.
            onStreamEnded(ownGeneration, "malformed: " + malformed, true);
        } finally {
            reading = false;
        }
    }

    private void handleObject(String text) {
        if (freshness.nextRequest() == ReplicaListFreshness.RequestKind.FULL) {
            // A response that is reset or truncated is not a complete list, so it counts only once its end was read.
            fullList = text;
            return;
        }
        ReplicaListJson.Update update = ReplicaListJson.read(text);
        freshness.onLine(loop.lastPolledAt(), true);
        if (!isOlder(update)) {
            accept(update);
        }
    }

    private void handleFullList(ReplicaListJson.Update update) {
        if (!update.isFull()) {
            throw new IllegalArgumentException("a change where the full list was requested");
        }
        if (isOlder(update)) {
            disconnect();
            freshness.onOlderList(loop.now());
            onWatchEnded("the full list is older than the current one");
            performDueAction();
            return;
        }
        disconnect();
        freshness.onFullList(loop.now());
        accept(update);
        performDueAction();
    }

    private void accept(ReplicaListJson.Update update) {
        revision = update.revision();
        onUpdate.accept(update);
    }

    /**
     * Whether an update is older than the current list; it is then ignored, because an agent that lags behind would
     * revert a drain that was announced (rule 3). Cost: a registry that was created anew and counts revisions from the
     * start is followed only after a restart of this router; the log says so.
     */
    private boolean isOlder(ReplicaListJson.Update update) {
        if (update.revision() < revision) {
            log.log(
                    Log.Level.WARNING,
                    "discovery",
                    "discovery: revision " + update.revision() + " is older than " + revision
                            + " in hand and is passed over");
        }
        return update.revision() < revision;
    }

    private void onStreamEnded(long ownGeneration, String reason, boolean isMalformed) {
        if (ownGeneration != generation) {
            return;
        }
        disconnect();
        freshness.onAttemptEnd(loop.now(), isMalformed);
        onWatchEnded(reason);
        performDueAction();
    }

    /**
     * Logs the end of a watch. An unreachable agent must not fill the log, so each cause is logged once, and later how
     * often it occurred.
     */
    private void onWatchEnded(String reason) {
        if (reason.equals(lastReason)) {
            sameReasonCount++;
        } else {
            log.log(
                    Log.Level.WARNING,
                    "discovery",
                    "discovery: the watch is over, " + reason
                            + (sameReasonCount > 0
                                    ? "; before that " + sameReasonCount + " times more: " + lastReason
                                    : ""));
            lastReason = reason;
            sameReasonCount = 0;
        }
        loop.guarded("handling a failed watch", onWatchFailure);
    }

    /**
     * Transfers a callback of Undertow's client to the event loop; results of an earlier connection are handed to the
     * stale handler.
     */
    private final class EventLoopCallback<T> implements ClientCallback<T> {
        private final long ownGeneration;
        private final Consumer<T> onCurrent;
        private final Consumer<T> onStale;

        EventLoopCallback(long ownGeneration, Consumer<T> onCurrent, Consumer<T> onStale) {
            this.ownGeneration = ownGeneration;
            this.onCurrent = onCurrent;
            this.onStale = onStale;
        }

        @Override
        public void completed(T result) {
            loop.event("discovery", () -> (ownGeneration == generation ? onCurrent : onStale).accept(result));
        }

        @Override
        public void failed(IOException failure) {
            loop.event("discovery", () -> onStreamEnded(ownGeneration, "failed: " + failure.getMessage(), false));
        }
    }
}
