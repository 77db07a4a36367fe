package pinewick.registry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Cuts an HTTP/1.1 answer into its body's lines, however the bytes are split. No I/O. A line is kept until it is
 * whole, up to a stated length; what a connection's end leaves unfinished is never handed on.
 */
public final class HttpResponseParser {
    /** A line, or a head, was longer than is taken. */
    public static final class TooLong extends RuntimeException {
        TooLong(String what) {
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

    private static final int HEAD_MOST = 16 << 10;

    private final int longest;
    private final ByteArrayOutputStream words = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(512);
    private Stage stage = Stage.STATUS;
    private int status;
    private long left = -1;
    private boolean chunked;
    private boolean keeps = true;
    private int head;

    /** @param longest bytes of a line of the body at most */
    public HttpResponseParser(int longest) {
        this.longest = longest;
    }

    public int status() {
        return status;
    }

    /** The answer has come whole. */
    public boolean done() {
        return stage == Stage.DONE;
    }

    /** Whether the connection may be used again once the answer is done. */
    public boolean keepsConnection() {
        return keeps;
    }

    /** Takes bytes; hands on each whole line of the body that is not empty. Throws on what is not HTTP/1.1. */
    public void feed(ByteBuffer bytes, Consumer<String> lines) {
        while (bytes.hasRemaining() && stage != Stage.DONE) {
            switch (stage) {
                case STATUS, HEAD, SIZE, CHUNK_END, TRAILER -> {
                    byte one = bytes.get();
                    if (++head > HEAD_MOST) {
                        throw new TooLong("a head of more than " + HEAD_MOST + " bytes");
                    }
                    if (one == '\n') {
                        String text =
                                words.toString(StandardCharsets.ISO_8859_1).strip();
                        words.reset();
                        headLine(text, lines);
                    } else {
                        words.write(one);
                    }
                }
                case BODY, CHUNK -> body(bytes, lines);
                default -> {}
            }
        }
    }

    private void headLine(String text, Consumer<String> lines) {
        switch (stage) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] [0-9]{3}.*")) {
                    throw new IllegalArgumentException("no HTTP answer");
                }
                status = Integer.parseInt(text.substring(9, 12));
                keeps = text.startsWith("HTTP/1.1");
                stage = Stage.HEAD;
            }
            case HEAD -> {
                if (!text.isEmpty()) {
                    field(text);
                } else if (status / 100 == 1) {
                    stage = Stage.STATUS;
                } else {
                    head = 0;
                    stage = chunked ? Stage.SIZE : Stage.BODY;
                    if (!chunked && left == 0) {
                        end(lines);
                    }
                }
            }
            case SIZE -> {
                int semicolon = text.indexOf(';');
                String size = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
                if (!size.matches("[0-9a-fA-F]{1,12}")) {
                    throw new IllegalArgumentException("a chunk of size " + size);
                }
                left = Long.parseLong(size, 16);
                head = 0;
                stage = left == 0 ? Stage.TRAILER : Stage.CHUNK;
            }
            case CHUNK_END -> {
                head = 0;
                stage = Stage.SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    end(lines);
                }
            }
        }
    }

    private void field(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon).strip().toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        switch (name) {
            case "content-length" -> {
                if (!value.matches("[0-9]{1,15}")) {
                    throw new IllegalArgumentException("a length of " + value);
                }
                left = Long.parseLong(value);
            }
            case "transfer-encoding" -> chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" -> keeps &= !value.equalsIgnoreCase("close");
            default -> {}
        }
    }

    private void body(ByteBuffer bytes, Consumer<String> lines) {
        while (bytes.hasRemaining() && left != 0) {
            byte one = bytes.get();
            if (left > 0) {
                left--;
            }
            if (one == '\n') {
                lineDone(lines);
            } else {
                if (line.size() >= longest) {
                    throw new TooLong("a line of more than " + longest + " bytes");
                }
                line.write(one);
            }
        }
        if (left == 0) {
            if (stage == Stage.CHUNK) {
                stage = Stage.CHUNK_END;
            } else {
                end(lines);
            }
        }
    }

    private void lineDone(Consumer<String> lines) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.isBlank()) {
            lines.accept(text);
        }
    }

    private void end(Consumer<String> lines) {
        stage = Stage.DONE;
        lineDone(lines);
    }
}
