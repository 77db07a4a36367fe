package pinewick.system;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import pinewick.model.SocketAddress;

/**
 * Responds like a replica in the {@link TrainingRun}: to health checks and load reports, with prefill handles, streams
 * of two events, and plain bodies. Serves one request per connection at a time.
 */
final class FakeReplica implements Closeable {
    private static final String SIGNATURE = "X-Pinewick-Server-Signature: rehearsal\r\n";
    private static final int MAX_BACKLOG = 50;

    private final String instanceId;
    private final String stage;
    private final ServerSocket server;

    /** @param stage the serving stage of the replica; empty for a plain service */
    FakeReplica(String instanceId, String stage, InetAddress host) throws IOException {
        this.instanceId = instanceId;
        this.stage = stage;
        this.server = new ServerSocket(0, MAX_BACKLOG, host);
        startThread(this::acceptConnections);
    }

    String instanceId() {
        return instanceId;
    }

    String stage() {
        return stage;
    }

    SocketAddress address() {
        return new SocketAddress(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The socket has been closed at the end of the training run.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String requestLine = readLine(input);
            while (!requestLine.isEmpty()) {
                Map<String, String> headers = readHeaders(input);
                input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                socket.getOutputStream().write(responseTo(requestLine, headers).getBytes(StandardCharsets.ISO_8859_1));
                requestLine = readLine(input);
            }
        } catch (IOException | NumberFormatException e) {
            // The caller has closed the connection or sent a request that is not supported here.
        }
    }

    private String responseTo(String requestLine, Map<String, String> headers) {
        String requestIdHeader = "X-Pinewick-Request-Id: " + headers.getOrDefault("x-pinewick-request-id", "") + "\r\n";
        if (requestLine.startsWith("GET /report ")) {
            return fullResponse(
                    "",
                    "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                            + "\"busy\":false,\"call_sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,"
                            + "\"kv_total\":90000,\"prefill_handles\":0}");
        }
        if (requestLine.startsWith("GET /health ")) {
            return fullResponse("X-Pinewick-Instance-Id: " + instanceId + "\r\n", "");
        }
        if (requestLine.startsWith("DELETE /kv-handle/") || requestLine.startsWith("POST /order ")) {
            return fullResponse("", "");
        }
        if (headers.containsKey("x-pinewick-serving-stage")) {
            return fullResponse(requestIdHeader + SIGNATURE, "{\"prefill_handle\":\"1\",\"tokens\":30,\"version\":1}");
        }
        if (headers.containsKey("x-pinewick-model")) {
            return eventStreamResponse(requestIdHeader);
        }
        return fullResponse(requestIdHeader + SIGNATURE, "plain");
    }

    private static String fullResponse(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String eventStreamResponse(String requestIdHeader) {
        return "HTTP/1.1 200 OK\r\n" + requestIdHeader + SIGNATURE
                + "Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + encodeChunk("id: 1\ndata: a\n\n") + encodeChunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    }

    private static String encodeChunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = input.read(); character >= 0 && character != '\n'; character = input.read()) {
            if (character != '\r') {
                line.append((char) character);
            }
        }
        return line.toString();
    }
}
