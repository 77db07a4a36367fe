package pinewick.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream into JSON objects; the stream may be fragmented anywhere: across lines, within a string, within
 * a character. It finds only where an object ends; the JSON library parses it. (The reader of that library blocks for
 * input, which the event loop must not do.)
 */
final class JsonObjectSplitter {
    private final int maxObjectBytes;
    private final Consumer<String> onObject;
    private final Runnable onEmptyLine;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    JsonObjectSplitter(int maxObjectBytes, Consumer<String> onObject, Runnable onEmptyLine) {
        this.maxObjectBytes = maxObjectBytes;
        this.onObject = onObject;
        this.onEmptyLine = onEmptyLine;
    }

    void reset() {
        buffered.reset();
        depth = 0;
        inString = false;
        escaped = false;
    }

    /** Whether an object has begun but not ended. */
    boolean isPartial() {
        return depth > 0;
    }

    /**
     * Consumes one byte; throws IllegalArgumentException for anything but white space between objects and for an object
     * that is too long.
     */
    void feed(byte next) {
        if (depth == 0 && next != '{') {
            if (next == '\n') {
                onEmptyLine.run();
            } else if (next != ' ' && next != '\t' && next != '\r') {
                throw new IllegalArgumentException("JSON object expected, got byte " + (next & 0xff));
            }
            return;
        }
        buffered.write(next);
        if (buffered.size() > maxObjectBytes) {
            throw new IllegalArgumentException("JSON object exceeds " + maxObjectBytes + " bytes");
        }
        if (inString) {
            if (escaped) {
                escaped = false;
            } else if (next == '\\') {
                escaped = true;
            } else if (next == '"') {
                inString = false;
            }
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if ((next == '}' || next == ']') && --depth == 0) {
            String text = buffered.toString(StandardCharsets.UTF_8);
            buffered.reset();
            onObject.accept(text);
        }
    }
}
