package pinewick.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.HdrHistogram.Histogram;
import pinewick.model.SocketAddress;

/**
 * A replica that does nothing but send heartbeats, over a connection that it keeps: to the controller that answered
 * last, and to the next one when no acknowledgement comes within a second. Owned by the swarm's thread.
 */
public final class HollowReplica {
    /** How often a heartbeat is sent, milliseconds. */
    static final double HEARTBEAT_MS = 1_200;

    private static final double ACKNOWLEDGED_WITHIN_MS = 1_000;
    private static final double PAUSE_AFTER_ALL_FAILED_MS = 200;
    private static final double NS_A_MS = 1e6;
    private static final int MOST_ANSWER_BYTES = 4_096;

    /** Figures of all replicas together. */
    static final class Tally {
        final Histogram acknowledgementMicros = new Histogram(60_000_000L, 3);
        long acknowledged;
        long failed;
        long bytesOut;
        long bytesIn;
    }

    private enum Phase {
        RESTING,
        CONNECTING,
        WAITING
    }

    private final int number;
    private final ReplicaProfile profile;
    private final List<SocketAddress> controllers;
    private final Selector selector;
    private final Tally tally;
    private final ByteBuffer answer = ByteBuffer.allocate(MOST_ANSWER_BYTES);
    private int incarnation;
    private volatile int controller;
    private int failuresInARow;
    private long callSequence;
    private Phase phase = Phase.RESTING;
    private SocketChannel channel;
    private double dueAtMs;
    private double sentAtMs;
    private boolean draining;
    private boolean drainingSent;
    private volatile long drainAskedNs;
    private volatile long drainAcknowledgedNs;
    private volatile double acknowledgedAtMs;
    private volatile boolean everAcknowledged;

    HollowReplica(
            int number,
            ReplicaProfile profile,
            List<SocketAddress> controllers,
            Selector selector,
            Tally tally,
            double firstAtMs) {
        this.number = number;
        this.profile = profile;
        this.controllers = controllers;
        this.selector = selector;
        this.tally = tally;
        this.controller = number % controllers.size();
        this.dueAtMs = firstAtMs;
        this.acknowledgedAtMs = firstAtMs;
    }

    /** The id of its present life. */
    public String instanceId() {
        return instanceId(number, incarnation);
    }

    /** The id of a replica's first life. */
    public static String firstInstanceId(int number) {
        return instanceId(number, 0);
    }

    private static String instanceId(int number, int incarnation) {
        return "i-" + Integer.toHexString(0x10000000 + number * 0x10000 + incarnation);
    }

    /** Whether a heartbeat of it was ever acknowledged. */
    boolean everAcknowledged() {
        return everAcknowledged;
    }

    /** Announces its end with the next heartbeat, at once. */
    public void drain(double nowMs) {
        draining = true;
        drainAskedNs = System.nanoTime();
        if (phase == Phase.RESTING) {
            dueAtMs = nowMs;
        }
    }

    /** Says nothing any more. */
    public void end() {
        disconnect();
        dueAtMs = Double.POSITIVE_INFINITY;
    }

    /** Starts a new life at the same address. */
    void replace(double nowMs) {
        incarnation++;
        callSequence = 0;
        draining = false;
        drainingSent = false;
        drainAskedNs = 0;
        drainAcknowledgedNs = 0;
        disconnect();
        dueAtMs = nowMs;
    }

    /** The number of the controller that it sends its heartbeats to. */
    int controller() {
        return controller;
    }

    long drainAskedNs() {
        return drainAskedNs;
    }

    /** When its end was acknowledged, 0 if it was not. */
    public long drainAcknowledgedNs() {
        return drainAcknowledgedNs;
    }

    /** When a heartbeat was last acknowledged. */
    double acknowledgedAtMs() {
        return acknowledgedAtMs;
    }

    /** Does what is due. */
    void turn(double nowMs) {
        if (phase != Phase.RESTING && nowMs - sentAtMs > ACKNOWLEDGED_WITHIN_MS) {
            fail(nowMs);
        } else if (phase == Phase.RESTING && nowMs >= dueAtMs) {
            begin(nowMs);
        }
    }

    private void begin(double nowMs) {
        sentAtMs = nowMs;
        try {
            if (channel == null) {
                connect();
            } else {
                send();
            }
        } catch (IOException e) {
            fail(nowMs);
        }
    }

    private void connect() throws IOException {
        SocketAddress to = controllers.get(controller);
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        phase = Phase.CONNECTING;
        boolean connected = channel.connect(new InetSocketAddress(to.host(), to.port()));
        channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        if (connected) {
            send();
        }
    }

    private void send() throws IOException {
        callSequence++;
        drainingSent = draining;
        byte[] request = request();
        if (channel.write(ByteBuffer.wrap(request)) != request.length) {
            throw new IOException("no room for a heartbeat");
        }
        tally.bytesOut += request.length;
        answer.clear();
        phase = Phase.WAITING;
    }

    private byte[] request() {
        String body = "{\"service\":\"" + profile.service() + "\",\"address\":\"" + profile.address() + "\",\"zone\":\""
                + profile.zone() + "\",\"version\":\"v1\",\"slots\":" + profile.slots() + ",\"state\":\""
                + (draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"stage\":\"" + profile.stage()
                + "\",\"models\":[{\"name\":\"" + profile.model()
                + "\",\"version\":1,\"adapters\":[]}],\"call_sequence\":" + callSequence + "}";
        String head = "POST /instances/" + instanceId() + "/heartbeat HTTP/1.1\r\nHost: " + controllers.get(controller)
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }

    /** The channel can do something. */
    void ready(SelectionKey key, double nowMs) {
        if (!key.isValid() || key.channel() != channel) {
            return;
        }
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                send();
            } else if (key.isReadable()) {
                read(nowMs);
            }
        } catch (IOException e) {
            fail(nowMs);
        }
    }

    private void read(double nowMs) throws IOException {
        int count = channel.read(answer);
        if (count < 0 && phase == Phase.RESTING) {
            disconnect();
        } else if (count < 0) {
            throw new IOException("closed before the answer");
        } else if (phase == Phase.WAITING) {
            tally.bytesIn += count;
            takeAnswer(nowMs);
        }
    }

    private void takeAnswer(double nowMs) throws IOException {
        String text = new String(answer.array(), 0, answer.position(), StandardCharsets.US_ASCII);
        if (!HttpResponseText.isWhole(text)) {
            return;
        }
        if (HttpResponseText.status(text) / 100 != 2) {
            throw new IOException("status " + HttpResponseText.status(text));
        }
        phase = Phase.RESTING;
        failuresInARow = 0;
        acknowledgedAtMs = nowMs;
        everAcknowledged = true;
        tally.acknowledged++;
        tally.acknowledgementMicros.recordValue((long) Math.max(0, (nowMs - sentAtMs) * 1_000));
        dueAtMs = Math.max(nowMs, dueAtMs + HEARTBEAT_MS);
        if (drainingSent && drainAcknowledgedNs == 0) {
            drainAcknowledgedNs = System.nanoTime();
        } else if (draining && !drainingSent) {
            dueAtMs = nowMs;
        }
    }

    private void fail(double nowMs) {
        tally.failed++;
        disconnect();
        controller = (controller + 1) % controllers.size();
        failuresInARow++;
        boolean all = failuresInARow % controllers.size() == 0;
        dueAtMs = nowMs + (all ? PAUSE_AFTER_ALL_FAILED_MS : 0);
    }

    private void disconnect() {
        phase = Phase.RESTING;
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                tally.failed++;
            }
            channel = null;
        }
    }

    /** Steady time, milliseconds. */
    public static double nowMs() {
        return System.nanoTime() / NS_A_MS;
    }
}
