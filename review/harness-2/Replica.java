import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a searcher of a plain service: registers itself by heartbeats, and answers each request once, with its
 * stamp, the request's id and the connection's rest time. It rejects what names another instance with 421.
 */
final class Replica implements AutoCloseable {
    /** One request as received. */
    record Received(String method, String target, Map<String, String> headers, int bodyBytes) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("X-Pinewick-Request-Id");
        }
    }

    /** How a request is answered: the body, after whatever time the work takes. */
    interface Work {
        void answer(Replica replica, Received request, OutputStream out) throws Exception;
    }

    /** Places of a stand-in; the cases stay far below. */
    static final int SLOTS = 64;

    final String id;
    final String service;
    final String host;
    final int port;
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final AtomicInteger connections = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean beats = true;
    volatile int keepAliveSeconds = 10;
    private final Fleet fleet;
    private final Record record;
    private final Work work;
    private final AtomicLong sequence = new AtomicLong();
    private final ServerSocket server;
    private volatile boolean closed;

    Replica(Fleet fleet, Record record, String id, String service, String host, Work work) throws IOException {
        this.fleet = fleet;
        this.record = record;
        this.id = id;
        this.service = service;
        this.host = host;
        this.work = work;
        this.port = fleet.port + Fleet.REPLICA;
        this.server = new ServerSocket(port, 512, InetAddress.getByName(host));
        daemon(this::accept);
        daemon(this::beat);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        int controller = Math.abs(id.hashCode()) % fleet.controllers;
        while (!closed) {
            long pauseMs = 1_200;
            if (beats) {
                String[] answer = fleet.callOnce(controller, "/instances/" + id + "/heartbeat", heartbeat(), "");
                if (answer == null || !answer[0].equals("200")) {
                    controller = (controller + 1) % fleet.controllers;
                    pauseMs = 100;
                }
            }
            try {
                Thread.sleep(pauseMs);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String heartbeat() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + port
                + "\",\"zone\":\"sala-mi\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"call_sequence\":" + sequence.incrementAndGet() + "}";
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            while (!closed) {
                Received request = read(in);
                if (request == null) {
                    return;
                }
                OutputStream out = socket.getOutputStream();
                String expected = request.header("X-Pinewick-Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(head(request, "421 Misdirected Request", 0, "X-Pinewick-Not-Executed: 1\r\n"));
                } else if (request.target().equals("/health")) {
                    out.write(("HTTP/1.1 200 OK\r\nX-Pinewick-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                } else {
                    runs.merge(request.id(), 1, Integer::sum);
                    work.answer(this, request, out);
                }
                out.flush();
            }
        } catch (Exception e) {
            if (!closed) {
                record.add(id + ": a connection ended: " + e.getMessage());
            }
        }
    }

    /** The head of an answer with a length. */
    byte[] head(Received request, String status, int length, String more) {
        return ("HTTP/1.1 " + status + "\r\nX-Pinewick-Request-Id: " + request.id()
                        + "\r\nX-Pinewick-Server-Signature: " + id + "." + request.id()
                        + "\r\nKeep-Alive: timeout=" + keepAliveSeconds + "\r\n" + more
                        + "Content-Type: application/octet-stream\r\nContent-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads one request; null at an orderly end. */
    static Received read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] buffer = new byte[16 * 1024];
        for (int left = length; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("the body of " + headers.get("x-pinewick-request-id") + " ended with " + left
                        + " of " + length + " bytes missing");
            }
            left -= read;
        }
        return new Received(parts[0], parts[1], headers, length);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(next);
        }
        if (bytes.size() > 0) {
            throw new EOFException("the connection ended within a line");
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
