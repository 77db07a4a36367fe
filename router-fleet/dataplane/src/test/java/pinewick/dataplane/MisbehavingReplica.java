package pinewick.dataplane;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import pinewick.model.SocketAddress;

/** A replica that misbehaves at random in the ways that the protocol describes, and counts the requests it executes. */
final class MisbehavingReplica implements AutoCloseable {
    static final int EVENTS = 6;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final Map<String, AtomicInteger> executions;
    private final SplittableRandom random;

    /** @param executions counts how often each request id was executed, by all replicas */
    MisbehavingReplica(Map<String, AtomicInteger> executions, long seed) throws IOException {
        this.executions = executions;
        this.random = new SplittableRandom(seed);
        Thread acceptor = new Thread(this::acceptAll, "misbehaving-replica");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", listener.getLocalPort());
    }

    static String bodyOf(String id) {
        return "response to " + id + " " + "y".repeat(200);
    }

    static String eventOf(String id, int number) {
        return "id: " + number + "\ndata: " + id + " token " + number + "\n\n";
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                SplittableRandom connectionRandom;
                synchronized (random) {
                    connectionRandom = random.split();
                }
                Thread thread = new Thread(() -> serve(socket, connectionRandom), "misbehaving-replica-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // Closed: the test has ended.
        }
    }

    private void serve(Socket socket, SplittableRandom connectionRandom) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String duplicateResponse = "";
            while (true) {
                HttpText.Message request = HttpText.read(in);
                String id = request.field("X-Pinewick-Request-Id");
                write(socket, duplicateResponse);
                if (!respond(socket, connectionRandom, request, id)) {
                    return;
                }
                duplicateResponse =
                        connectionRandom.nextInt(8) == 0 && id != null ? ScriptedReplica.response(200, id, "late") : "";
            }
        } catch (IOException e) {
            // The router closed the connection.
        }
    }

    /** Sends a response; returns whether the connection stays open. */
    private boolean respond(Socket socket, SplittableRandom connectionRandom, HttpText.Message request, String id)
            throws IOException {
        if (id == null) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (connectionRandom.nextInt(6) == 0) {
            write(socket, ScriptedReplica.rejection(id));
            return true;
        }
        if (request.field("X-Pinewick-Serving-Stage") != null) {
            write(socket, ScriptedReplica.response(200, id, "{\"prefill_handle\":\"h-" + id + "\"}"));
            return true;
        }
        String kvFrom = request.field("Kv-From");
        if (kvFrom != null && !kvFrom.endsWith("/h-" + id)) {
            executions
                    .computeIfAbsent("handle of another request: " + id, key -> new AtomicInteger())
                    .incrementAndGet();
        }
        executions.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        return request.firstLine().contains("/lm/")
                ? respondStream(socket, connectionRandom, id, request.field("Last-Event-Id"))
                : respondPlain(socket, connectionRandom, id);
    }

    private boolean respondPlain(Socket socket, SplittableRandom connectionRandom, String id) throws IOException {
        String completeResponse = ScriptedReplica.response(200, id, bodyOf(id));
        switch (connectionRandom.nextInt(18)) {
            case 0 -> {
                write(socket, completeResponse.substring(0, connectionRandom.nextInt(completeResponse.length())));
                return false;
            }
            case 1 -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case 2 -> write(socket, completeResponse + ScriptedReplica.response(200, id, "extra"));
            case 3 -> {
                write(socket, "not an HTTP response\r\n\r\n");
                return false;
            }
            case 4 -> write(socket, ScriptedReplica.response(500, id, "failed"));
            case 5 -> {
                write(socket, ScriptedReplica.response(200, id, bodyOf(id), "Connection: close"));
                return false;
            }
            case 6 -> write(socket, "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse);
            case 7 -> {
                write(socket, completeResponse.substring(0, completeResponse.length() / 2));
                write(socket, completeResponse.substring(completeResponse.length() / 2));
            }
            case 8, 9 -> {
                // Without a length the response is complete if the connection is closed, and truncated if it is reset.
                write(socket, completeResponse.replaceFirst("Content-Length: \\d+\r\n", ""));
                return false;
            }
            case 10 -> {
                String responseWithoutLength = completeResponse.replaceFirst("Content-Length: \\d+\r\n", "");
                write(
                        socket,
                        responseWithoutLength.substring(
                                0,
                                responseWithoutLength.length()
                                        - 1
                                        - connectionRandom.nextInt(bodyOf(id).length())));
                socket.setSoLinger(true, 0);
                return false;
            }
            default -> write(socket, completeResponse);
        }
        return true;
    }

    private boolean respondStream(Socket socket, SplittableRandom connectionRandom, String id, String lastEventId)
            throws IOException {
        int firstNumber = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
        int breakAtNumber = connectionRandom.nextInt(4) == 0 ? connectionRandom.nextInt(EVENTS) + 1 : Integer.MAX_VALUE;
        write(socket, ScriptedReplica.streamHead(id));
        for (int number = firstNumber; number <= EVENTS; number++) {
            String chunk = ScriptedReplica.chunk(eventOf(id, number));
            if (number >= breakAtNumber) {
                write(socket, chunk.substring(0, connectionRandom.nextInt(chunk.length())));
                socket.setSoLinger(connectionRandom.nextInt(2) == 0, 0);
                return false;
            }
            write(socket, chunk);
        }
        write(socket, ScriptedReplica.lastChunk());
        return true;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
