package pinewick.registry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * An incremental HTTP/1.1 response parser that emits the lines of the body, however the bytes are split. No I/O. A line
 * is buffered until it is complete, up to a maximum length; a line left incomplete at the end of the connection is
 * never emitted.
 */
public final class HttpResponseParser {
    /** A body line or the response head exceeded its size limit. */
    public static final class TooLargeException extends RuntimeException {
        TooLargeException(String what) {
            super(what);
        }
    }

    private enum Stage {
        STATUS,
        HEAD,
        BODY,
        SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        DONE
    }

    private static final int MAX_HEAD_BYTES = 16 << 10;

    private final int maxLineBytes;
    private final ByteArrayOutputStream headLine = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(512);
    private Stage stage = Stage.STATUS;
    private int status;
    private long remainingBytes = -1;
    private boolean chunked;
    private boolean keepAlive = true;
    private int headBytes;

    /** @param maxLineBytes maximum length of a body line */
    public HttpResponseParser(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    public int status() {
        return status;
    }

    /** Whether the response is complete. */
    public boolean isDone() {
        return stage == Stage.DONE;
    }

    /** Whether the connection may be reused once the response is complete. */
    public boolean isKeepAlive() {
        return keepAlive;
    }

    /**
     * Parses bytes and passes each complete, non-empty line of the body to the consumer. Throws
     * IllegalArgumentException for input that is not HTTP/1.1 and TooLargeException beyond a size limit.
     */
    public void feed(ByteBuffer bytes, Consumer<String> lines) {
        while (bytes.hasRemaining() && stage != Stage.DONE) {
            switch (stage) {
                case STATUS, HEAD, SIZE, CHUNK_END, TRAILER -> {
                    byte next = bytes.get();
                    if (++headBytes > MAX_HEAD_BYTES) {
                        throw new TooLargeException("response head exceeds " + MAX_HEAD_BYTES + " bytes");
                    }
                    if (next == '\n') {
                        String text =
                                headLine.toString(StandardCharsets.ISO_8859_1).strip();
                        headLine.reset();
                        onHeadLine(text, lines);
                    } else {
                        headLine.write(next);
                    }
                }
                case BODY, CHUNK -> readBody(bytes, lines);
                default -> {}
            }
        }
    }

    private void onHeadLine(String text, Consumer<String> lines) {
        switch (stage) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] [0-9]{3}.*")) {
                    throw new IllegalArgumentException("not an HTTP response");
                }
                status = Integer.parseInt(text.substring(9, 12));
                keepAlive = text.startsWith("HTTP/1.1");
                stage = Stage.HEAD;
            }
            case HEAD -> {
                if (!text.isEmpty()) {
                    onHeaderField(text);
                } else if (status / 100 == 1) {
                    stage = Stage.STATUS;
                } else {
                    headBytes = 0;
                    stage = chunked ? Stage.SIZE : Stage.BODY;
                    if (!chunked && remainingBytes == 0) {
                        finish(lines);
                    }
                }
            }
            case SIZE -> {
                int semicolon = text.indexOf(';');
                String size = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
                if (!size.matches("[0-9a-fA-F]{1,12}")) {
                    throw new IllegalArgumentException("invalid chunk size " + size);
                }
                remainingBytes = Long.parseLong(size, 16);
                headBytes = 0;
                stage = remainingBytes == 0 ? Stage.TRAILER : Stage.CHUNK;
            }
            case CHUNK_END -> {
                headBytes = 0;
                stage = Stage.SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    finish(lines);
                }
            }
        }
    }

    private void onHeaderField(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon).strip().toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        switch (name) {
            case "content-length" -> {
                if (!value.matches("[0-9]{1,15}")) {
                    throw new IllegalArgumentException("invalid Content-Length " + value);
                }
                remainingBytes = Long.parseLong(value);
            }
            case "transfer-encoding" -> chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" -> keepAlive &= !value.equalsIgnoreCase("close");
            default -> {}
        }
    }

    private void readBody(ByteBuffer bytes, Consumer<String> lines) {
        while (bytes.hasRemaining() && remainingBytes != 0) {
            byte next = bytes.get();
            if (remainingBytes > 0) {
                remainingBytes--;
            }
            if (next == '\n') {
                emitLine(lines);
            } else {
                if (line.size() >= maxLineBytes) {
                    throw new TooLargeException("body line exceeds " + maxLineBytes + " bytes");
                }
                line.write(next);
            }
        }
        if (remainingBytes == 0) {
            if (stage == Stage.CHUNK) {
                stage = Stage.CHUNK_END;
            } else {
                finish(lines);
            }
        }
    }

    private void emitLine(Consumer<String> lines) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.isBlank()) {
            lines.accept(text);
        }
    }

    private void finish(Consumer<String> lines) {
        stage = Stage.DONE;
        emitLine(lines);
    }
}
