package pinewick.dataplane;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream without consuming bytes of the next message. */
final class HttpText {
    private HttpText() {}

    /** A message: first line, header fields as received, body. */
    record Message(String firstLine, List<String> fields, String body) {
        String field(String name) {
            for (String field : fields) {
                if (field.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return field.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return new Message(head.firstLine(), head.fields(), readBody(in, head));
    }

    static Message readHead(InputStream in) throws IOException {
        String firstLine = readLine(in);
        List<String> fields = new ArrayList<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            fields.add(line);
        }
        return new Message(firstLine, fields, "");
    }

    private static String readBody(InputStream in, Message head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            StringBuilder body = new StringBuilder();
            for (String chunk = readChunk(in); !chunk.isEmpty(); chunk = readChunk(in)) {
                body.append(chunk);
            }
            return body.toString();
        }
        String length = head.field("Content-Length");
        return length == null ? "" : readBytes(in, Integer.parseInt(length));
    }

    /** Reads one chunk and its line end; the result is empty for the last chunk. */
    static String readChunk(InputStream in) throws IOException {
        String chunk = readBytes(in, Integer.parseInt(readLine(in).trim(), 16));
        readLine(in);
        return chunk;
    }

    static String readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("closed after " + bytes.length + " of " + count + " bytes");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0) {
                throw new EOFException("closed after '" + line + "'");
            }
            if (character != '\r') {
                line.write(character);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
