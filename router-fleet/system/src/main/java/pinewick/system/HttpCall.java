package pinewick.system;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import pinewick.model.SocketAddress;

/** An HTTP request of the command-line tools, sent on a separate connection. */
record HttpCall(SocketAddress address, String method, String path, Map<String, String> headers, String body) {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_TIMEOUT_MS = 5_000;

    /** The status and the body of a response. */
    record Response(int status, String body) {}

    static HttpCall get(SocketAddress address, String path) {
        return new HttpCall(address, "GET", path, Map.of(), "");
    }

    /**
     * Sends the request and reads the complete response.
     *
     * @throws IOException if the connection fails or the complete response does not arrive in time
     */
    Response send() throws IOException {
        URL url = new URL("http", address.host(), address.port(), path);
        HttpURLConnection connection = (HttpURLConnection) url.openConnection();
        connection.setConnectTimeout(CONNECT_TIMEOUT_MS);
        connection.setReadTimeout(READ_TIMEOUT_MS);
        connection.setRequestMethod(method);
        connection.setRequestProperty("Connection", "close");
        headers.forEach(connection::setRequestProperty);
        if (!body.isEmpty()) {
            writeBody(connection);
        }
        int status = connection.getResponseCode();
        try (InputStream stream = status < HttpURLConnection.HTTP_BAD_REQUEST
                ? connection.getInputStream()
                : connection.getErrorStream()) {
            return new Response(
                    status, stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private void writeBody(HttpURLConnection connection) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        connection.setDoOutput(true);
        connection.setFixedLengthStreamingMode(bytes.length);
        try (OutputStream stream = connection.getOutputStream()) {
            stream.write(bytes);
        }
    }
}
