package pinewick.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.state.InFlightAttempt;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaCall;

/** A TCP connection to one replica (searcher), from the connect request until it is closed. */
public final class TcpReplicaConnection implements OutboundConnection {
    /** Events of a connection; each one is a separate event on the event loop. */
    public interface Listener {
        void onResponse(InFlightAttempt attempt, char end, SchedulerHost.LoadReport report, byte[] value);

        void onProbeResult(String replicaId, long probe, boolean succeeded, SchedulerHost.LoadReport report);

        /**
         * A frame arrived that is not a valid response; {@code attempt} is the one that it ends, null if it is
         * unknown.
         */
        void onInvalidFrame(TcpReplicaConnection connection, String reason, InFlightAttempt attempt);

        /**
         * Whether the first byte of that attempt may be written now; if not, the listener has withdrawn the attempt.
         */
        boolean canStartWrite(InFlightAttempt attempt);

        /** These attempts were not written completely and will not be, through no fault of the replica. */
        void onUnsent(List<InFlightAttempt> attempts);

        /**
         * The connection was not established in time for these attempts; it may still be established for later ones.
         */
        void onConnectTimeout(TcpReplicaConnection connection, List<InFlightAttempt> attempts);

        /**
         * The connection is closed; the attempts in {@code never} were not written completely, those in {@code perhaps}
         * were and may have run.
         */
        void onClosed(
                TcpReplicaConnection connection,
                String reason,
                List<InFlightAttempt> never,
                List<InFlightAttempt> perhaps);
    }

    private final String replicaId;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Limits limits;
    private final Listener listener;
    private final FrameCodec.Decoder decoder;
    private final Consumer<ByteBuffer> onFrame = this::handleFrame;
    private final ArrayDeque<ReplicaCall> waiting = new ArrayDeque<>();
    private final ArrayDeque<ByteBuffer> controlFrames = new ArrayDeque<>();
    private final ArrayDeque<Long> probes = new ArrayDeque<>();
    private final List<ReplicaCall> calls = new ArrayList<>();
    private final PendingResponses pending;
    private IoFuture<StreamConnection> connectFuture;
    private XnioExecutor.Key connectTimer;
    private StreamConnection connection;
    private ByteBuffer frameBeingWritten;
    private ReplicaCall callBeingWritten;
    private boolean closed;
    private boolean retired;
    private boolean writesStopped;
    private boolean reading;
    private boolean connectTimedOut;
    private long incompleteAtFrameCount = -1;
    private double lastUsedAt;
    private double lastReceivedAt = Double.NEGATIVE_INFINITY;

    public TcpReplicaConnection(
            String replicaId, InetSocketAddress address, EventLoop loop, Limits limits, Listener listener) {
        this.replicaId = replicaId;
        this.address = address;
        this.loop = loop;
        this.limits = limits;
        this.listener = listener;
        this.decoder = new FrameCodec.Decoder(limits.maxFrameBytes());
        this.pending = new PendingResponses(limits);
        lastUsedAt = loop.now();
    }

    @Override
    public String replicaId() {
        return replicaId;
    }

    /** Starts to connect; the outcome is reported as an event. */
    public void connect() {
        connectTimer = loop.timeOut(limits.connectTimeoutSeconds(), "dialing", this::onConnectTimeout);
        connectFuture =
                loop.thread().openStreamConnection(address, null, null, OptionMap.create(Options.TCP_NODELAY, true));
        connectFuture.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Object>() {
                    @Override
                    public void handleDone(StreamConnection channel, Object none) {
                        loop.later("connected", () -> attach(channel));
                    }

                    @Override
                    public void handleFailed(IOException failed, Object none) {
                        loop.later("not connected", () -> close("not connected: " + failed.getMessage()));
                    }

                    @Override
                    public void handleCancelled(Object none) {
                        loop.later("not connected", () -> close("not connected: cancelled"));
                    }
                },
                null);
    }

    /**
     * Handles a connect that exceeded its timeout. Where connections are established late, closing each one at the
     * timeout and connecting again, as late, would keep the replica unreachable. So waiting attempts fail over, no new
     * attempt is queued, and the connection may still be established. The same covers a replica that was paused. Cost:
     * a connection that is never established holds its descriptor for longer.
     */
    private void onConnectTimeout() {
        if (connection != null || closed) {
            return;
        }
        connectTimedOut = true;
        connectTimer = loop.timeOut(limits.maxConnectSeconds() - limits.connectTimeoutSeconds(), "dialing", () -> {
            if (connection == null) {
                close("never up");
            }
        });
        controlFrames.clear();
        List<Long> unsentProbes = List.copyOf(probes);
        probes.clear();
        listener.onConnectTimeout(this, unwrittenAttempts());
        unsentProbes.forEach(number -> listener.onProbeResult(replicaId, number, false, null));
    }

    /** Uses a channel that is already connected. */
    public void attach(StreamConnection channel) {
        if (closed) {
            IoUtils.safeClose(channel);
            return;
        }
        connection = channel;
        lastUsedAt = loop.now();
        if (connectTimer != null) {
            connectTimer.remove();
        }
        // Created once: with the C1 compiler each new lambda costs a call out of Java, and these run for every
        // response.
        Runnable readTask = this::read;
        Runnable writeTask = this::write;
        channel.getSourceChannel().setReadListener(any -> loop.event("reading from a searcher", readTask));
        channel.getSinkChannel().setWriteListener(any -> loop.event("writing to a searcher", writeTask));
        channel.getSourceChannel().resumeReads();
        write();
    }

    /** Whether another call may be sent or queued on this connection now. */
    @Override
    public boolean hasCapacity() {
        return !closed
                && !retired
                && !writesStopped
                && (connection != null || !connectTimedOut)
                && calls.size() < limits.maxCallsPerConnection()
                && (connection == null || !calls.isEmpty() || loop.now() - lastUsedAt < limits.connectionIdleSeconds());
    }

    /** Reads from an unused connection, to notice that the replica has closed it before a call would be lost on it. */
    @Override
    public boolean isStillOpen() {
        if (connection != null && calls.isEmpty()) {
            read();
        }
        return !closed;
    }

    @Override
    public boolean isConnected() {
        return connection != null && !closed;
    }

    @Override
    public int activeCalls() {
        return calls.size();
    }

    /** Accepts no new calls and closes once the outstanding ones have ended. */
    @Override
    public void retire(String reason) {
        retired = true;
        if (calls.isEmpty()) {
            close(reason);
        }
    }

    /** Closes an idle connection before the replica would; to be called periodically. */
    @Override
    public void checkIdle() {
        if (connection != null
                && calls.isEmpty()
                && probes.isEmpty()
                && loop.now() - lastUsedAt >= limits.connectionIdleSeconds()) {
            close("idle");
        }
    }

    @Override
    public void send(List<InFlightAttempt> attempts) {
        ReplicaCall call = new ReplicaCall(this, attempts);
        calls.add(call);
        waiting.add(call);
        write();
    }

    @Override
    public void sendProbe(long number, boolean load) {
        probes.add(number);
        controlFrames.add(FrameCodec.frame(load ? FrameCodec.LOAD : FrameCodec.PROBE, new byte[0]));
        write();
    }

    /** Withdraws an attempt that has not been written, or tells the replica that it is cancelled. */
    @Override
    public void cancel(InFlightAttempt attempt, boolean tell) {
        ReplicaCall call = attempt.call;
        if (call.writeState == ReplicaCall.WriteState.PENDING) {
            call.attempts.remove(attempt);
        } else if (call.writeState == ReplicaCall.WriteState.PARTIAL) {
            // The rest of the frame would otherwise be sent after the query has its response. So nothing more is
            // written, while calls outstanding on this connection may still be answered; closing at once would lose
            // their responses.
            writesStopped = true;
            loop.later("abandoning a frame", this::abandonFrame);
        } else if (tell) {
            controlFrames.add(FrameCodec.cancel(attempt.shardRequest.id));
            write();
            if (controlFrames.size() > limits.maxQueuedControlFrames()) {
                loop.later(
                        "closing a connection whose control frames are not read",
                        () -> close("does not read control frames"));
            }
        }
    }

    private void abandonFrame() {
        List<InFlightAttempt> unwritten = new ArrayList<>();
        calls.stream()
                .filter(call -> call.writeState != ReplicaCall.WriteState.WRITTEN)
                .forEach(call ->
                        call.attempts.stream().filter(each -> !each.ended).forEach(unwritten::add));
        if (!closed) {
            listener.onUnsent(unwritten);
            retire("a partly written frame was abandoned");
        }
    }

    /** The attempts of which no byte has been written. */
    @Override
    public List<InFlightAttempt> unwrittenAttempts() {
        List<InFlightAttempt> unwritten = new ArrayList<>();
        waiting.forEach(call -> unwritten.addAll(call.attempts));
        return unwritten;
    }

    /** An attempt on this connection has ended, for whatever reason. */
    @Override
    public void onAttemptEnded(InFlightAttempt attempt) {
        ReplicaCall call = attempt.call;
        pending.onAttemptEnd(attempt);
        if (--call.activeCount == 0) {
            calls.remove(call);
            waiting.remove(call);
            if (retired && calls.isEmpty()) {
                loop.later("closing a retired connection", () -> close("retired"));
            }
        }
    }

    /** Whether nothing has been received since that call was written. */
    @Override
    public boolean isSilentSince(ReplicaCall call) {
        return call.writeState == ReplicaCall.WriteState.WRITTEN && lastReceivedAt < call.writtenAt;
    }

    private void write() {
        if (connection == null || closed || writesStopped) {
            return;
        }
        try {
            while (frameBeingWritten != null || prepareNextFrame()) {
                if (connection.getSinkChannel().write(frameBeingWritten) == 0 && frameBeingWritten.hasRemaining()) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (callBeingWritten != null && callBeingWritten.writeState == ReplicaCall.WriteState.PENDING) {
                    callBeingWritten.writeState = ReplicaCall.WriteState.PARTIAL;
                }
                if (!frameBeingWritten.hasRemaining()) {
                    onFrameWritten();
                }
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException broken) {
            loop.later("handling an I/O error", () -> close("I/O error: " + broken.getMessage()));
        }
    }

    private boolean prepareNextFrame() {
        if (!controlFrames.isEmpty()) {
            frameBeingWritten = controlFrames.poll();
            return true;
        }
        while (!waiting.isEmpty()) {
            ReplicaCall call = waiting.poll();
            List.copyOf(call.attempts).stream()
                    .filter(each -> !listener.canStartWrite(each))
                    .forEach(call.attempts::remove);
            if (writesStopped || closed) {
                return false;
            }
            if (!call.attempts.isEmpty()) {
                callBeingWritten = call;
                frameBeingWritten = FrameCodec.call(call, loop.clock());
                return true;
            }
        }
        return false;
    }

    private void onFrameWritten() {
        frameBeingWritten = null;
        lastUsedAt = loop.now();
        if (callBeingWritten != null) {
            callBeingWritten.writeState = ReplicaCall.WriteState.WRITTEN;
            callBeingWritten.writtenAt = lastUsedAt;
            pending.onWritten(callBeingWritten.attempts);
            callBeingWritten = null;
        }
    }

    private void read() {
        if (closed || reading) {
            return;
        }
        ByteBuffer buffer = loop.readBuffer();
        reading = true;
        try {
            while (!closed) {
                buffer.clear();
                int byteCount = connection.getSourceChannel().read(buffer);
                if (byteCount < 0) {
                    close("ended by the searcher");
                    return;
                }
                if (byteCount == 0) {
                    startFrameTimeout();
                    return;
                }
                lastReceivedAt = lastUsedAt = loop.now();
                decoder.feed(buffer.flip(), onFrame);
            }
        } catch (IOException broken) {
            close("I/O error: " + broken.getMessage());
        } catch (RuntimeException unusable) {
            close("unusable: " + unusable.getMessage());
        } finally {
            reading = false;
        }
    }

    private void handleFrame(ByteBuffer frame) {
        if (closed) {
            return;
        }
        char type = (char) (frame.get() & 0xff);
        byte[] rest = new byte[frame.remaining()];
        frame.get(rest);
        switch (type) {
            case FrameCodec.RESPONSE -> handleResponse(rest);
            case FrameCodec.PROBE, FrameCodec.LOAD -> {
                String text = new String(rest, StandardCharsets.UTF_8).trim();
                Long number = probes.poll();
                if (number == null) {
                    onInvalidFrame(null, "unexpected probe response");
                    return;
                }
                boolean succeeded = !text.startsWith("E");
                listener.onProbeResult(
                        replicaId,
                        number,
                        succeeded,
                        succeeded && type == FrameCodec.LOAD ? ResponseFrame.report(text) : null);
            }
            case FrameCodec.PROTOCOL_ERROR -> throw new IllegalArgumentException(
                    "X " + new String(rest, 0, Math.min(80, rest.length), StandardCharsets.UTF_8));
            default -> onInvalidFrame(ResponseFrame.firstWord(rest), "unknown frame type " + (int) type);
        }
    }

    private void handleResponse(byte[] rest) {
        ResponseFrame response = ResponseFrame.read(rest);
        if (!pending.isExpected(response.part())) {
            // A duplicate response is harmless: its part has a value already.
            if (!pending.mayHaveBeenExpected(response.part())) {
                onInvalidFrame(null, "response for a part that is not outstanding on this connection");
            }
            return;
        }
        if (!response.wellFormed()) {
            onInvalidFrame(response.part(), "malformed response");
            return;
        }
        InFlightAttempt attempt = pending.onResponse(response.part());
        if (attempt != null) {
            listener.onResponse(attempt, response.end(), response.report(), response.value());
        }
    }

    /**
     * Handles a well-delimited frame with invalid content. Its part may have run and gets no other response; if the
     * frame does not name its part, the only outstanding attempt is meant. Other outstanding attempts may still be
     * answered, but the connection takes no new calls.
     */
    private void onInvalidFrame(String part, String reason) {
        boolean namesPart = part != null && pending.isExpected(part);
        InFlightAttempt endedAttempt = namesPart ? pending.waitingAttempt(part) : null;
        if (!namesPart) {
            List<InFlightAttempt> outstanding = new ArrayList<>();
            calls.forEach(call -> call.attempts.stream()
                    .filter(each -> !each.ended && call.writeState == ReplicaCall.WriteState.WRITTEN)
                    .forEach(outstanding::add));
            endedAttempt = outstanding.size() == 1 ? outstanding.get(0) : null;
        }
        retired = true;
        listener.onInvalidFrame(this, reason, endedAttempt == null || endedAttempt.ended ? null : endedAttempt);
        if (calls.isEmpty()) {
            loop.later("closing a connection after an invalid frame", () -> close("spoilt"));
        }
    }

    /** A truncated frame would keep its part, and all those behind it, outstanding until their timeouts. */
    private void startFrameTimeout() {
        long frameCount = decoder.frameCount();
        if (decoder.isPartial() && frameCount != incompleteAtFrameCount) {
            incompleteAtFrameCount = frameCount;
            loop.timeOut(limits.frameCompletionTimeoutSeconds(), "checking an incomplete frame", () -> {
                if (!closed && decoder.isPartial() && decoder.frameCount() == frameCount) {
                    close("unusable: a frame that stops short");
                }
            });
        }
    }

    /** Closes the connection; outstanding attempts end as the protocol specifies. */
    @Override
    public void close(String reason) {
        if (connection != null && !calls.isEmpty()) {
            // Responses that have arrived but are not read yet would be lost with a connection that a write found
            // broken.
            read();
        }
        if (closed) {
            return;
        }
        closed = true;
        if (connectTimer != null) {
            connectTimer.remove();
        }
        if (connection == null && connectFuture != null) {
            connectFuture.cancel();
        }
        IoUtils.safeClose(connection);
        List<InFlightAttempt> never = new ArrayList<>();
        List<InFlightAttempt> perhaps = new ArrayList<>();
        for (ReplicaCall call : calls) {
            for (InFlightAttempt attempt : call.attempts) {
                if (!attempt.ended) {
                    (call.writeState == ReplicaCall.WriteState.WRITTEN ? perhaps : never).add(attempt);
                }
            }
        }
        listener.onClosed(this, reason, never, perhaps);
        probes.forEach(number -> listener.onProbeResult(replicaId, number, false, null));
    }
}
