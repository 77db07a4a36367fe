package pinewick.dataplane;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.eclipse.jetty.util.BufferUtil;
import pinewick.model.ReplicaRecord;

/**
 * All connections to replicas, by instance, so that after an address was reassigned no connection to its former
 * instance is used for the new one.
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

    /** @param connectionLimit maximum number of connections from this router to one replica of a service */
    UpstreamPool(
            SerialExecutor serial, Timers timers, ReplicaDirectory directory, ToIntFunction<String> connectionLimit) {
        this.serial = serial;
        this.timers = timers;
        this.directory = directory;
        this.connectionLimit = connectionLimit;
    }

    /** Sets the connector. Called once, before the first call to a replica. */
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

    /** Closes connections that were idle for too long, and removes instances without connections. */
    void sweep() {
        double now = timers.nowMs();
        byInstance.values().forEach(connections -> connections.sweep(now));
        byInstance.values().removeIf(ReplicaConnections::isEmpty);
    }

    /** Closes the idle connections to an instance that was removed. */
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

    /** The read buffer that all connections share; its content is processed before the next read. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    double nowMs() {
        return timers.nowMs();
    }
}
