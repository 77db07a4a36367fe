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

/** An HTTP/1.1 client with one connection, which sends raw bytes chosen by the test. */
final class RawHttpClient implements Closeable {
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket socket;
    private final InputStream input;

    /** An HTTP response; header names are in lower case. */
    record Response(int status, Map<String, String> headers, String body) {}

    RawHttpClient(SocketAddress address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one request on a new connection. */
    static Response request(SocketAddress address, String method, String path, String body, String... headers)
            throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            return client.request(method, path, body, headers);
        }
    }

    Response request(String method, String path, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder requestHead = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: c\r\n");
        for (String header : headers) {
            requestHead.append(header).append("\r\n");
        }
        if (bytes.length > 0) {
            requestHead.append("Content-Length: ").append(bytes.length).append("\r\n");
        }
        send(requestHead.append("\r\n").append(body).toString());
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

    /** Waits for the next byte or the end of the stream; returns whether the peer has closed the connection. */
    boolean closedByPeer() throws IOException {
        return input.read() < 0;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("connection closed within a line: '" + line + "'");
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
