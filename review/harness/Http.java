import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** An answer; {@code whole} unless the connection ended before the body did. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }
    }

    /** The first line and the header fields of a message, names in lower case; null at the end of the input. */
    record Head(String line, Map<String, String> headers) {}

    static Answer call(
            String host, int port, String method, String path, List<String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(timeoutMs, 1_000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, path, host + ":" + port, headers, body);
            return readAnswer(socket.getInputStream());
        }
    }

    static void send(OutputStream out, String method, String path, String host, List<String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        if (headers.stream().noneMatch(each -> each.startsWith("Host:"))) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach(each -> head.append(each).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int end = 0;
        while (end < 4) {
            int each = in.read();
            if (each < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            bytes.write(each);
            boolean expected = end % 2 == 0 ? each == '\r' : each == '\n';
            end = expected ? end + 1 : each == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    static Answer readAnswer(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("closed without an answer");
        }
        int status = Integer.parseInt(head.line().split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = readBody(in, head.headers(), body);
        return new Answer(status, head.headers(), body.toByteArray(), whole);
    }

    static boolean readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            try {
                while (true) {
                    int size = Integer.parseInt(readLine(in).trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    body.writeBytes(chunk);
                    readLine(in);
                    if (size == 0) {
                        return true;
                    }
                }
            } catch (EOFException e) {
                return false;
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        body.writeBytes(in.readNBytes(length));
        return body.size() == length;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int each = in.read();
            if (each < 0) {
                throw new EOFException("end within a chunk");
            }
            if (each == '\n') {
                return line.toString();
            }
            if (each != '\r') {
                line.append((char) each);
            }
        }
    }
}
