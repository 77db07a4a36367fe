import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client with one kept connection to a router. */
final class Client implements AutoCloseable {
    /**
     * An answer, and its time from when the whole request was written; status 0 if there was no complete one.
     */
    record Answer(int status, int bodyBytes, double tookMs, String failure) {}

    /** Four fifths of idle_timeout_ms; a connection that has rested for longer is not used again. */
    private static final long MAX_REST_NANOS = 12_000_000_000L;

    final InetSocketAddress address;
    private Socket socket;
    private InputStream in;
    private long lastUsedNanos;

    Client(InetSocketAddress address) {
        this.address = address;
    }

    Answer send(String target, String host, String id, int deadlineMs, byte[] body, String more) {
        long start = System.nanoTime();
        Map<String, String> headers = new LinkedHashMap<>();
        if (start - lastUsedNanos > MAX_REST_NANOS) {
            close();
        }
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(address, 1_000);
                in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            }
            socket.setSoTimeout(deadlineMs + 2_000);
            String head = "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Pinewick-Request-Id: " + id
                    + "\r\nX-Pinewick-Deadline-Ms: " + deadlineMs + "\r\n" + more + "Content-Length: " + body.length
                    + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            start = System.nanoTime();
            String status = Replica.line(in);
            if (status == null) {
                close();
                return new Answer(0, 0, since(start), "closed with no answer");
            }
            for (String field = Replica.line(in); field != null && !field.isEmpty(); field = Replica.line(in)) {
                int colon = field.indexOf(':');
                headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
            }
            int answer = readBody(headers);
            lastUsedNanos = System.nanoTime();
            if ("close".equalsIgnoreCase(headers.get("connection"))) {
                close();
            }
            return new Answer(Integer.parseInt(status.substring(9, 12)), answer, since(start), null);
        } catch (IOException | RuntimeException e) {
            close();
            return new Answer(0, 0, since(start), e.toString());
        }
    }

    /** Reads the body to its end and returns its length; the stand-ins send zeros only. */
    private int readBody(Map<String, String> headers) throws IOException {
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            skip(length);
            return length;
        }
        int total = 0;
        while (true) {
            String size = Replica.line(in);
            if (size == null) {
                throw new IOException("the answer was cut off");
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            skip(length);
            total += length;
            Replica.line(in);
            if (length == 0) {
                return total;
            }
        }
    }

    private void skip(int length) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        for (int left = length; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new IOException("the answer was cut off");
            }
            left -= read;
        }
    }

    private static double since(long start) {
        return (System.nanoTime() - start) / 1e6;
    }

    boolean isOpen() {
        return socket != null;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is given up in any case.
        }
        socket = null;
    }
}
