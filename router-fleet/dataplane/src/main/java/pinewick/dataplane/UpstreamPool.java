package pinewick.dataplane;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.eclipse.jetty.util.BufferUtil;
import pinewick.model.ReplicaRecord;

/**
 * All connections to replicas, by instance: an address that was reassigned to another instance has connections of its
 * own.
 */
final class UpstreamPool implements UpstreamClient {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final SerialExecutor serial;
    private final Timers timers;
    private final ReplicaDirectory directory;
    private final ToIntFunction<String> connectionLimit;
    private final Map<String, ReplicaConnections> byInstance = new HashMap<>();
    private final ByteBuffer readBuffer = BufferUtil.allocateDirect(READ_BUFFER_BYTES);
    private final ConnectTimeout connectTimeout = new ConnectTimeout();
    private UpstreamConnector connector;

    /** @param connectionLimit most connections of this router to one replica of a service */
    UpstreamPool(
            SerialExecutor serial, Timers timers, ReplicaDirectory directory, ToIntFunction<String> connectionLimit) {
        this.serial = serial;
        this.timers = timers;
        this.directory = directory;
        this.connectionLimit = connectionLimit;
    }

    /** Set once, before the first call. */
    void setConnector(UpstreamConnector connector) {
        this.connector = connector;
    }

    @Override
    public UpstreamCall send(ReplicaRecord replica, UpstreamRequest request, CallListener listener) {
        UpstreamExchange exchange = new UpstreamExchange(replica, request, listener);
        ReplicaConnections connections =
                byInstance.computeIfAbsent(replica.instanceId(), id -> new ReplicaConnections(replica, this));
        serial.execute(() -> {
            if (!exchange.isEnded()) {
                connections.start(exchange);
            }
        });
        return exchange;
    }

    /** Closes connections that were idle too long, and drops instances without any. */
    void sweep() {
        double now = timers.nowMs();
        byInstance.values().forEach(connections -> connections.sweep(now));
        byInstance.values().removeIf(ReplicaConnections::isEmpty);
    }

    /** The instance was removed: idle connections are closed. */
    void closeIdle(String instanceId) {
        ReplicaConnections connections = byInstance.get(instanceId);
        if (connections != null) {
            connections.closeIdle();
        }
    }

    void connect(ReplicaConnections connections) {
        ReplicaRecord replica = connections.replica();
        double startedAtMs = timers.nowMs();
        connector.connect(
                new InetSocketAddress(
                        replica.address().host(), replica.address().port()),
                connectTimeout.timeoutMs(),
                (endPoint, executor) -> {
                    double tookMs = timers.nowMs() - startedAtMs;
                    serial.execute(() -> connectTimeout.onConnected(tookMs));
                    return new UpstreamConnection(endPoint, executor, connections, serial);
                },
                () -> serial.execute(connections::onConnectFailed));
    }

    int connectionLimit(ReplicaRecord replica) {
        return connectionLimit.applyAsInt(replica.service());
    }

    boolean mayReceiveRequest(ReplicaRecord replica) {
        return directory.mayReceiveRequest(replica);
    }

    /** One buffer for all connections: its content is processed before the next read. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    double nowMs() {
        return timers.nowMs();
    }
}
