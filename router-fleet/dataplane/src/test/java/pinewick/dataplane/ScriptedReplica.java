package pinewick.dataplane;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** A replica whose part a test plays by hand. */
final class ScriptedReplica implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;

    private final ServerSocket listener;
    private final String instanceId;
    private final String service;
    private final Stage stage;
    private long callSequence = 1;

    ScriptedReplica(String instanceId, String service, Stage stage) throws IOException {
        this(instanceId, service, stage, new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
        listener.setSoTimeout(PATIENCE_MS);
    }

    private ScriptedReplica(String instanceId, String service, Stage stage, ServerSocket listener) {
        this.instanceId = instanceId;
        this.service = service;
        this.stage = stage;
        this.listener = listener;
    }

    ReplicaRecord record() {
        return record(ReplicaState.READY);
    }

    ReplicaRecord record(ReplicaState state) {
        return new ReplicaRecord(
                instanceId, service, address(), "zone", "v1", 12, state, 0, stage, List.of(), callSequence++, false);
    }

    /** The same address with another instance behind it. */
    ScriptedReplica successor(String id) {
        return new ScriptedReplica(id, service, stage, listener);
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", listener.getLocalPort());
    }

    RawSocket accept() throws IOException {
        return new RawSocket(listener.accept());
    }

    /** Whether a connection has been made that nobody has accepted. */
    boolean hasPendingConnection() throws IOException {
        listener.setSoTimeout(1);
        try (Socket ignored = listener.accept()) {
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            listener.setSoTimeout(PATIENCE_MS);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** An answer as a replica gives it, stamped, with the length told. */
    static String response(int status, String requestId, String body, String... fields) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        text.append("X-Pinewick-Request-Id: ").append(requestId).append("\r\n");
        text.append("X-Pinewick-Server-Signature: stamp-").append(requestId).append("\r\n");
        text.append("Keep-Alive: timeout=30\r\n");
        for (String field : fields) {
            text.append(field).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return text.toString();
    }

    /** The replica's word that it did not run the request. */
    static String rejection(String requestId) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Pinewick-Request-Id: " + requestId
                + "\r\nX-Pinewick-Not-Executed: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n";
    }

    /** The head of a stream of events. */
    static String streamHead(String requestId, String... fields) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        text.append("X-Pinewick-Request-Id: ").append(requestId).append("\r\n");
        text.append("X-Pinewick-Server-Signature: stamp-").append(requestId).append("\r\n");
        for (String field : fields) {
            text.append(field).append("\r\n");
        }
        return text + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String lastChunk() {
        return "0\r\n\r\n";
    }
}
