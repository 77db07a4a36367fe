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

/** A replica whose connections the test accepts and serves itself. */
final class ScriptedReplica implements AutoCloseable {
    private static final int ACCEPT_TIMEOUT_MS = 10_000;

    private final ServerSocket listener;
    private final String instanceId;
    private final String service;
    private final Stage stage;
    private long callSequence = 1;

    ScriptedReplica(String instanceId, String service, Stage stage) throws IOException {
        this(instanceId, service, stage, new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
        listener.setSoTimeout(ACCEPT_TIMEOUT_MS);
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

    /** Another instance at the same address. */
    ScriptedReplica successor(String id) {
        return new ScriptedReplica(id, service, stage, listener);
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", listener.getLocalPort());
    }

    RawSocket accept() throws IOException {
        return new RawSocket(listener.accept());
    }

    /** Whether there is a connection that was not accepted yet. It is accepted and closed. */
    boolean hasPendingConnection() throws IOException {
        listener.setSoTimeout(1);
        try (Socket ignored = listener.accept()) {
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            listener.setSoTimeout(ACCEPT_TIMEOUT_MS);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** A replica's response, with its signature and {@code Content-Length}. */
    static String response(int status, String requestId, String body, String... fields) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        text.append("X-Pinewick-Request-Id: ").append(requestId).append("\r\n");
        text.append("X-Pinewick-Server-Signature: signature-").append(requestId).append("\r\n");
        text.append("Keep-Alive: timeout=30\r\n");
        for (String field : fields) {
            text.append(field).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return text.toString();
    }

    /** The replica's statement that it did not execute the request. */
    static String rejection(String requestId) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Pinewick-Request-Id: " + requestId
                + "\r\nX-Pinewick-Not-Executed: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n";
    }

    /** The head of an event stream. */
    static String streamHead(String requestId, String... fields) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        text.append("X-Pinewick-Request-Id: ").append(requestId).append("\r\n");
        text.append("X-Pinewick-Server-Signature: signature-").append(requestId).append("\r\n");
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
