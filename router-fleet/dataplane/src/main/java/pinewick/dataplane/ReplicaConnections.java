package pinewick.dataplane;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import pinewick.model.ReplicaRecord;

/**
 * The connections to one replica instance: the idle ones, most recently used first, and the number of open ones. A
 * request waits only for a connection that is being established, never for one in use to become free.
 */
final class ReplicaConnections {
    private final ReplicaRecord replica;
    private final UpstreamPool pool;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private final Deque<UpstreamExchange> connecting = new ArrayDeque<>();
    private int open;

    ReplicaConnections(ReplicaRecord replica, UpstreamPool pool) {
        this.replica = replica;
        this.pool = pool;
    }

    ReplicaRecord replica() {
        return replica;
    }

    /** Sends the request on an idle connection or a new one, within this router's limit of connections. */
    void start(UpstreamExchange exchange) {
        UpstreamConnection idleConnection = takeIdle();
        if (idleConnection != null) {
            idleConnection.send(exchange);
        } else if (open >= pool.connectionLimit(replica)) {
            exchange.notSent(CallListener.NotSent.NO_CONNECTION_FREE);
        } else {
            open++;
            connecting.addLast(exchange);
            pool.connect(this);
        }
    }

    private UpstreamConnection takeIdle() {
        while (!idle.isEmpty()) {
            UpstreamConnection candidate = idle.pop();
            if (candidate.isUsable(nowMs())) {
                return candidate;
            }
            candidate.closeNow();
        }
        return null;
    }

    /** Sends the next waiting request on a connection that was just established. */
    void onConnected(UpstreamConnection connection) {
        UpstreamExchange exchange = nextWaiting();
        if (exchange == null) {
            connection.closeNow();
        } else if (!pool.mayReceiveRequest(replica)) {
            connection.closeNow();
            exchange.notSent(CallListener.NotSent.REPLICA_DRAINING);
        } else {
            connection.send(exchange);
        }
    }

    private UpstreamExchange nextWaiting() {
        UpstreamExchange exchange = connecting.pollFirst();
        while (exchange != null && exchange.isEnded()) {
            exchange = connecting.pollFirst();
        }
        return exchange;
    }

    /** Fails the next waiting request because a connection could not be established. */
    void onConnectFailed() {
        open--;
        UpstreamExchange exchange = connecting.pollFirst();
        if (exchange != null) {
            exchange.notSent(CallListener.NotSent.NOT_CONNECTED);
        }
    }

    /** Returns a connection to the idle ones after a complete response. */
    void onReleased(UpstreamConnection connection) {
        idle.push(connection);
    }

    void onClosed(UpstreamConnection connection) {
        idle.remove(connection);
        open--;
    }

    /** Closes the idle connections that the replica is about to close. */
    void sweep(double nowMs) {
        for (UpstreamConnection connection : idle.toArray(UpstreamConnection[]::new)) {
            if (connection.hasExpired(nowMs)) {
                connection.closeNow();
            }
        }
    }

    /** Closes every idle connection. */
    void closeIdle() {
        for (UpstreamConnection connection : idle.toArray(UpstreamConnection[]::new)) {
            connection.closeNow();
        }
    }

    boolean isEmpty() {
        return open == 0;
    }

    int open() {
        return open;
    }

    ByteBuffer readBuffer() {
        return pool.readBuffer();
    }

    double nowMs() {
        return pool.nowMs();
    }
}
