package pinewick.control;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import pinewick.model.SocketAddress;

/** One HTTP/1.1 connection that a test drives byte by byte. */
final class RawHttpClient implements Closeable {
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket socket;
    private final InputStream input;

    /** An answer; header names in lower case. */
    record Response(int status, Map<String, String> headers, String body) {}

    RawHttpClient(SocketAddress address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one request on a connection of its own. */
    static Response call(SocketAddress address, String method, String path, String body, String... headers)
            throws IOException {
        try (RawHttpClient caller = new RawHttpClient(address)) {
            return caller.call(method, path, body, headers);
        }
    }

    Response call(String method, String path, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: c\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        if (bytes.length > 0) {
            head.append("Content-Length: ").append(bytes.length).append("\r\n");
        }
        send(head.append("\r\n").append(body).toString());
        return receive();
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    Response receive() throws IOException {
        String[] statusLine = readLine().split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(input.readNBytes(length), StandardCharsets.UTF_8);
        return new Response(Integer.parseInt(statusLine[1]), headers, body);
    }

    /** Whether the other side has closed the connection; waits for it. */
    boolean closedByPeer() throws IOException {
        return input.read() < 0;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("closed within a line: '" + line + "'");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
