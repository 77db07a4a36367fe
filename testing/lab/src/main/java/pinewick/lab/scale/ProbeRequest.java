package pinewick.lab.scale;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import pinewick.model.SocketAddress;

/** A single request to a router on a separate connection, with the host of the probe routes. */
final class ProbeRequest {
    private static final int TIMEOUT_MS = 2_000;
    private static final int MAX_BYTES = 1_024;
    private static final int STATUS_END = 12;

    private ProbeRequest() {}

    /** The status code of the response, 0 if there was none. */
    static int status(SocketAddress frontend, String path) {
        String request = "POST " + path + "x HTTP/1.1\r\nHost: " + SampleConfiguration.PROBE_HOST
                + "\r\nX-Pinewick-Request-Id: " + Long.toHexString(System.nanoTime())
                + "\r\nX-Pinewick-Deadline-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(frontend.host(), frontend.port()), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            OutputStream output = socket.getOutputStream();
            output.write(request.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            InputStream input = socket.getInputStream();
            String head = new String(input.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII);
            return head.length() < STATUS_END ? 0 : HttpResponseText.status(head);
        } catch (IOException e) {
            return 0;
        }
    }
}
