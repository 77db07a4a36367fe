package pinewick.wire;

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
import pinewick.loop.Limits;
import pinewick.loop.Loop;
import pinewick.state.InFlightAttempt;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaCall;

/** One connection to a searcher, from when it is asked for until it is closed. */
public final class SearcherLink implements OutboundConnection {
    /** What a link tells; every call is an event of its own on the loop. */
    public interface Events {
        void answered(InFlightAttempt launch, char end, SchedulerHost.LoadReport report, byte[] value);

        void probed(String searcher, long probe, boolean good, SchedulerHost.LoadReport report);

        /** Something came that is no answer; the launch that it ends, null where there is none to be told. */
        void spoilt(SearcherLink link, String why, InFlightAttempt launch);

        /** Whether the first byte of that launch may be written now; one that may not has been taken back. */
        boolean mayBegin(InFlightAttempt launch);

        /** These were never written whole and will not be, for no fault of the searcher. */
        void unsent(List<InFlightAttempt> launches);

        /** The link is not up in time for these; it may still come up for others. */
        void notUp(SearcherLink link, List<InFlightAttempt> launches);

        /** The link is closed; {@code never} were not written whole, {@code perhaps} were. */
        void closed(SearcherLink link, String why, List<InFlightAttempt> never, List<InFlightAttempt> perhaps);
    }

    private final String searcher;
    private final InetSocketAddress address;
    private final Loop loop;
    private final Limits limits;
    private final Events events;
    private final Frames.Cutter cutter;
    private final Consumer<ByteBuffer> cut = this::frame;
    private final ArrayDeque<ReplicaCall> waiting = new ArrayDeque<>();
    private final ArrayDeque<ByteBuffer> control = new ArrayDeque<>();
    private final ArrayDeque<Long> probes = new ArrayDeque<>();
    private final List<ReplicaCall> calls = new ArrayList<>();
    private final OwedAnswers owed;
    private IoFuture<StreamConnection> dialing;
    private XnioExecutor.Key dialTimer;
    private StreamConnection connection;
    private ByteBuffer current;
    private ReplicaCall currentCall;
    private boolean closed;
    private boolean retired;
    private boolean doomed;
    private boolean reading;
    private boolean late;
    private long stuckAt = -1;
    private double usedAt;
    private double heardAt = Double.NEGATIVE_INFINITY;

    public SearcherLink(String searcher, InetSocketAddress address, Loop loop, Limits limits, Events events) {
        this.searcher = searcher;
        this.address = address;
        this.loop = loop;
        this.limits = limits;
        this.events = events;
        this.cutter = new Frames.Cutter(limits.frameBytes());
        this.owed = new OwedAnswers(limits);
        usedAt = loop.now();
    }

    @Override
    public String replicaId() {
        return searcher;
    }

    /** Starts to connect; the answer is an event. */
    public void dial() {
        dialTimer = loop.timeOut(limits.dial(), "dialing", this::late);
        dialing = loop.thread().openStreamConnection(address, null, null, OptionMap.create(Options.TCP_NODELAY, true));
        dialing.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Object>() {
                    @Override
                    public void handleDone(StreamConnection made, Object none) {
                        loop.later("connected", () -> up(made));
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
     * Danger: where connections come up late, one given up at its time-out is dialled anew, as late, and its searcher
     * stays out of reach. So what waits goes elsewhere, nothing new is put on it, and the connection may still come up.
     * Also catches a searcher that stood still. Harm: one that never comes up holds a descriptor so much longer.
     */
    private void late() {
        if (connection != null || closed) {
            return;
        }
        late = true;
        dialTimer = loop.timeOut(limits.dialMost() - limits.dial(), "dialing", () -> {
            if (connection == null) {
                close("never up");
            }
        });
        control.clear();
        List<Long> unasked = List.copyOf(probes);
        probes.clear();
        events.notUp(this, unwrittenAttempts());
        unasked.forEach(number -> events.probed(searcher, number, false, null));
    }

    /** A link over a connection that is there already. */
    public void up(StreamConnection made) {
        if (closed) {
            IoUtils.safeClose(made);
            return;
        }
        connection = made;
        usedAt = loop.now();
        if (dialTimer != null) {
            dialTimer.remove();
        }
        // Made once: each one made costs a call out of Java, with the quick compiler, and these run for every answer.
        Runnable reading = this::read;
        Runnable writing = this::write;
        made.getSourceChannel().setReadListener(any -> loop.event("reading from a searcher", reading));
        made.getSinkChannel().setWriteListener(any -> loop.event("writing to a searcher", writing));
        made.getSourceChannel().resumeReads();
        write();
    }

    /** Whether another call may be put on it now. */
    @Override
    public boolean hasCapacity() {
        return !closed
                && !retired
                && !doomed
                && (connection != null || !late)
                && calls.size() < limits.callsAConnection()
                && (connection == null || !calls.isEmpty() || loop.now() - usedAt < limits.linkIdle());
    }

    /** Reads what may tell that an unused link has been closed at the far end, before a call would be lost on it. */
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

    /** No new calls; it closes once those that are out have ended. */
    @Override
    public void retire(String why) {
        retired = true;
        if (calls.isEmpty()) {
            close(why);
        }
    }

    /** To be called now and then: closes the link before the far side would. */
    @Override
    public void checkIdle() {
        if (connection != null && calls.isEmpty() && probes.isEmpty() && loop.now() - usedAt >= limits.linkIdle()) {
            close("idle");
        }
    }

    @Override
    public void send(List<InFlightAttempt> launches) {
        ReplicaCall call = new ReplicaCall(this, launches);
        calls.add(call);
        waiting.add(call);
        write();
    }

    @Override
    public void sendProbe(long number, boolean load) {
        probes.add(number);
        control.add(Frames.frame(load ? Frames.LOAD : Frames.PROBE, new byte[0]));
        write();
    }

    /** Takes a launch back that has not been written, or tells the searcher that it is given up. */
    @Override
    public void cancel(InFlightAttempt launch, boolean tell) {
        ReplicaCall call = launch.call;
        if (call.writeState == ReplicaCall.WriteState.PENDING) {
            call.attempts.remove(launch);
        } else if (call.writeState == ReplicaCall.WriteState.PARTIAL) {
            // Danger: the rest of the frame would still go out after the query's answer. So nothing more is written;
            // what is out on the link may still be answered, or it would be lost with the frame.
            doomed = true;
            loop.later("dropping a frame", this::dropFrame);
        } else if (tell) {
            control.add(Frames.cancel(launch.shardRequest.id));
            write();
            if (control.size() > limits.controlFrames()) {
                loop.later("too many frames unread", () -> close("reads nothing"));
            }
        }
    }

    private void dropFrame() {
        List<InFlightAttempt> unsent = new ArrayList<>();
        calls.stream()
                .filter(call -> call.writeState != ReplicaCall.WriteState.WRITTEN)
                .forEach(call ->
                        call.attempts.stream().filter(each -> !each.ended).forEach(unsent::add));
        if (!closed) {
            events.unsent(unsent);
            retire("a frame begun was no longer wanted");
        }
    }

    /** The launches of which no byte has been written. */
    @Override
    public List<InFlightAttempt> unwrittenAttempts() {
        List<InFlightAttempt> none = new ArrayList<>();
        waiting.forEach(call -> none.addAll(call.attempts));
        return none;
    }

    /** A launch on this link is over, for whatever reason. */
    @Override
    public void onAttemptEnded(InFlightAttempt launch) {
        ReplicaCall call = launch.call;
        owed.over(launch);
        if (--call.activeCount == 0) {
            calls.remove(call);
            waiting.remove(call);
            if (retired && calls.isEmpty()) {
                loop.later("closing a retired link", () -> close("retired"));
            }
        }
    }

    /** Whether nothing has come since that call was written. */
    @Override
    public boolean isSilentSince(ReplicaCall call) {
        return call.writeState == ReplicaCall.WriteState.WRITTEN && heardAt < call.writtenAt;
    }

    private void write() {
        if (connection == null || closed || doomed) {
            return;
        }
        try {
            while (current != null || next()) {
                if (connection.getSinkChannel().write(current) == 0 && current.hasRemaining()) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (currentCall != null && currentCall.writeState == ReplicaCall.WriteState.PENDING) {
                    currentCall.writeState = ReplicaCall.WriteState.PARTIAL;
                }
                if (!current.hasRemaining()) {
                    written();
                }
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException broken) {
            loop.later("a searcher's connection broke", () -> close("broke: " + broken.getMessage()));
        }
    }

    private boolean next() {
        if (!control.isEmpty()) {
            current = control.poll();
            return true;
        }
        while (!waiting.isEmpty()) {
            ReplicaCall call = waiting.poll();
            List.copyOf(call.attempts).stream()
                    .filter(each -> !events.mayBegin(each))
                    .forEach(call.attempts::remove);
            if (doomed || closed) {
                return false;
            }
            if (!call.attempts.isEmpty()) {
                currentCall = call;
                current = Frames.call(call, loop.clock());
                return true;
            }
        }
        return false;
    }

    private void written() {
        current = null;
        usedAt = loop.now();
        if (currentCall != null) {
            currentCall.writeState = ReplicaCall.WriteState.WRITTEN;
            currentCall.writtenAt = usedAt;
            owed.written(currentCall.attempts);
            currentCall = null;
        }
    }

    private void read() {
        if (closed || reading) {
            return;
        }
        ByteBuffer in = loop.readBuffer();
        reading = true;
        try {
            while (!closed) {
                in.clear();
                int count = connection.getSourceChannel().read(in);
                if (count < 0) {
                    close("ended by the searcher");
                    return;
                }
                if (count == 0) {
                    expectTheRest();
                    return;
                }
                heardAt = usedAt = loop.now();
                cutter.feed(in.flip(), cut);
            }
        } catch (IOException broken) {
            close("broke: " + broken.getMessage());
        } catch (RuntimeException unusable) {
            close("unusable: " + unusable.getMessage());
        } finally {
            reading = false;
        }
    }

    private void frame(ByteBuffer frame) {
        if (closed) {
            return;
        }
        char letter = (char) (frame.get() & 0xff);
        byte[] rest = new byte[frame.remaining()];
        frame.get(rest);
        switch (letter) {
            case Frames.ANSWER -> answer(rest);
            case Frames.PROBE, Frames.LOAD -> {
                String text = new String(rest, StandardCharsets.UTF_8).trim();
                Long number = probes.poll();
                if (number == null) {
                    spoilt(null, "an answer to no probe");
                    return;
                }
                boolean good = !text.startsWith("E");
                events.probed(searcher, number, good, good && letter == Frames.LOAD ? AnswerFrame.report(text) : null);
            }
            case Frames.UNUSABLE -> throw new IllegalArgumentException(
                    "X " + new String(rest, 0, Math.min(80, rest.length), StandardCharsets.UTF_8));
            default -> spoilt(AnswerFrame.firstWord(rest), "a frame of letter " + (int) letter);
        }
    }

    private void answer(byte[] rest) {
        AnswerFrame answer = AnswerFrame.read(rest);
        if (!owed.owes(answer.part())) {
            // A second copy of an answer costs nothing: its part has its value.
            if (!owed.mayHaveOwed(answer.part())) {
                spoilt(null, "an answer for a part that is not out here");
            }
            return;
        }
        if (!answer.wellFormed()) {
            spoilt(answer.part(), "an answer that can't be read");
            return;
        }
        InFlightAttempt launch = owed.answered(answer.part());
        if (launch != null) {
            events.answered(launch, answer.end(), answer.report(), answer.value());
        }
    }

    /**
     * What came can be cut into frames, but this one is nothing that a searcher may say. Its part may have run and has
     * no other answer; where it can't be told which part that is, the only one out is meant. Others that are out may
     * still be answered, but the link takes nothing new.
     */
    private void spoilt(String part, String why) {
        boolean named = part != null && owed.owes(part);
        InFlightAttempt meant = named ? owed.launch(part) : null;
        if (!named) {
            List<InFlightAttempt> out = new ArrayList<>();
            calls.forEach(call -> call.attempts.stream()
                    .filter(each -> !each.ended && call.writeState == ReplicaCall.WriteState.WRITTEN)
                    .forEach(out::add));
            meant = out.size() == 1 ? out.get(0) : null;
        }
        retired = true;
        events.spoilt(this, why, meant == null || meant.ended ? null : meant);
        if (calls.isEmpty()) {
            loop.later("closing a spoilt link", () -> close("spoilt"));
        }
    }

    /** Danger: a frame that stops short would keep its part, and all behind it, out until their time-outs. */
    private void expectTheRest() {
        long had = cutter.count();
        if (cutter.partial() && had != stuckAt) {
            stuckAt = had;
            loop.timeOut(limits.frameWhole(), "a frame's rest", () -> {
                if (!closed && cutter.partial() && cutter.count() == had) {
                    close("unusable: a frame that stops short");
                }
            });
        }
    }

    /** Closes the link; what was out on it ends as the protocol says. */
    @Override
    public void close(String why) {
        if (connection != null && !calls.isEmpty()) {
            // Danger: answers that have come and wait to be read would be lost with a connection that a write found
            // broken.
            read();
        }
        if (closed) {
            return;
        }
        closed = true;
        if (dialTimer != null) {
            dialTimer.remove();
        }
        if (connection == null && dialing != null) {
            dialing.cancel();
        }
        IoUtils.safeClose(connection);
        List<InFlightAttempt> never = new ArrayList<>();
        List<InFlightAttempt> perhaps = new ArrayList<>();
        for (ReplicaCall call : calls) {
            for (InFlightAttempt launch : call.attempts) {
                if (!launch.ended) {
                    (call.writeState == ReplicaCall.WriteState.WRITTEN ? perhaps : never).add(launch);
                }
            }
        }
        events.closed(this, why, never, perhaps);
        probes.forEach(number -> events.probed(searcher, number, false, null));
    }
}
