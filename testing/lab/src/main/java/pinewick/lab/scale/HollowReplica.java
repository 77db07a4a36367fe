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
 * A replica that only sends heartbeats, over a persistent connection. It stays with the controller that replied last
 * and switches to the next one if no acknowledgement arrives within a second. Confined to the swarm's thread.
 */
public final class HollowReplica {
    /** Heartbeat interval, milliseconds. */
    static final double HEARTBEAT_MS = 1_200;

    private static final double ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000;
    private static final double PAUSE_AFTER_ALL_FAILED_MS = 200;
    private static final double NS_PER_MS = 1e6;
    private static final int MAX_RESPONSE_BYTES = 4_096;

    /** Totals over all replicas. */
    static final class Tally {
        final Histogram acknowledgementMicros = new Histogram(60_000_000L, 3);
        long acknowledged;
        long failed;
        long bytesOut;
        long bytesIn;
    }

    private enum Phase {
        IDLE,
        CONNECTING,
        WAITING
    }

    private final int number;
    private final ReplicaProfile profile;
    private final List<SocketAddress> controllers;
    private final Selector selector;
    private final Tally tally;
    private final ByteBuffer response = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
    private int incarnation;
    private volatile int controller;
    private int consecutiveFailures;
    private long callSequence;
    private Phase phase = Phase.IDLE;
    private SocketChannel channel;
    private double dueAtMs;
    private double sentAtMs;
    private boolean draining;
    private boolean drainingSent;
    private volatile long drainRequestedNs;
    private volatile long drainAcknowledgedNs;
    private volatile double acknowledgedAtMs;
    private volatile boolean everAcknowledged;

    HollowReplica(
            int number,
            ReplicaProfile profile,
            List<SocketAddress> controllers,
            Selector selector,
            Tally tally,
            double firstHeartbeatMs) {
        this.number = number;
        this.profile = profile;
        this.controllers = controllers;
        this.selector = selector;
        this.tally = tally;
        this.controller = number % controllers.size();
        this.dueAtMs = firstHeartbeatMs;
        this.acknowledgedAtMs = firstHeartbeatMs;
    }

    /** The id of the current incarnation. */
    public String instanceId() {
        return instanceId(number, incarnation);
    }

    /** The id of a replica's first incarnation. */
    public static String firstInstanceId(int number) {
        return instanceId(number, 0);
    }

    private static String instanceId(int number, int incarnation) {
        return "i-" + Integer.toHexString(0x10000000 + number * 0x10000 + incarnation);
    }

    /** Whether any of its heartbeats has been acknowledged. */
    boolean everAcknowledged() {
        return everAcknowledged;
    }

    /** Announces the draining state with the next heartbeat, which is sent at once if none is in progress. */
    public void drain(double nowMs) {
        draining = true;
        drainRequestedNs = System.nanoTime();
        if (phase == Phase.IDLE) {
            dueAtMs = nowMs;
        }
    }

    /** Stops sending heartbeats. */
    public void stop() {
        disconnect();
        dueAtMs = Double.POSITIVE_INFINITY;
    }

    /** Starts a new incarnation at the same address. */
    void replace(double nowMs) {
        incarnation++;
        callSequence = 0;
        draining = false;
        drainingSent = false;
        drainRequestedNs = 0;
        drainAcknowledgedNs = 0;
        disconnect();
        dueAtMs = nowMs;
    }

    /** The index of the controller that receives its heartbeats. */
    int controller() {
        return controller;
    }

    long drainRequestedNs() {
        return drainRequestedNs;
    }

    /** Monotonic time at which the drain was acknowledged, nanoseconds; 0 if it was not. */
    public long drainAcknowledgedNs() {
        return drainAcknowledgedNs;
    }

    /** Monotonic time of the last acknowledged heartbeat, milliseconds. */
    double acknowledgedAtMs() {
        return acknowledgedAtMs;
    }

    /** Sends a heartbeat that is due, and fails one that has timed out. */
    void poll(double nowMs) {
        if (phase != Phase.IDLE && nowMs - sentAtMs > ACKNOWLEDGEMENT_TIMEOUT_MS) {
            fail(nowMs);
        } else if (phase == Phase.IDLE && nowMs >= dueAtMs) {
            startHeartbeat(nowMs);
        }
    }

    private void startHeartbeat(double nowMs) {
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
        SocketAddress target = controllers.get(controller);
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        phase = Phase.CONNECTING;
        boolean connected = channel.connect(new InetSocketAddress(target.host(), target.port()));
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
            throw new IOException("send buffer full: heartbeat was only partly written");
        }
        tally.bytesOut += request.length;
        response.clear();
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

    /** Handles a channel that is ready to connect or read. */
    void onReady(SelectionKey key, double nowMs) {
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
        int count = channel.read(response);
        if (count < 0 && phase == Phase.IDLE) {
            disconnect();
        } else if (count < 0) {
            throw new IOException("connection closed before the response");
        } else if (phase == Phase.WAITING) {
            tally.bytesIn += count;
            handleResponse(nowMs);
        }
    }

    private void handleResponse(double nowMs) throws IOException {
        String text = new String(response.array(), 0, response.position(), StandardCharsets.US_ASCII);
        if (!HttpResponseText.isComplete(text)) {
            return;
        }
        if (HttpResponseText.status(text) / 100 != 2) {
            throw new IOException("status " + HttpResponseText.status(text));
        }
        phase = Phase.IDLE;
        consecutiveFailures = 0;
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
        consecutiveFailures++;
        boolean allFailed = consecutiveFailures % controllers.size() == 0;
        dueAtMs = nowMs + (allFailed ? PAUSE_AFTER_ALL_FAILED_MS : 0);
    }

    private void disconnect() {
        phase = Phase.IDLE;
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                tally.failed++;
            }
            channel = null;
        }
    }

    /** Monotonic time, milliseconds. */
    public static double nowMs() {
        return System.nanoTime() / NS_PER_MS;
    }
}
