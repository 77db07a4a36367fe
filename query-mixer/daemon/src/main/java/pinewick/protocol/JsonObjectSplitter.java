package pinewick.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts JSON objects out of a stream of bytes that may be parted anywhere: over several lines, within a string, within a
 * character. It only finds where an object ends; the JSON library reads it. (That library's own reader waits for its
 * input, which this program's one loop may not.)
 */
final class JsonObjectSplitter {
    private final int longest;
    private final Consumer<String> object;
    private final Runnable emptyLine;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    JsonObjectSplitter(int longest, Consumer<String> object, Runnable emptyLine) {
        this.longest = longest;
        this.object = object;
        this.emptyLine = emptyLine;
    }

    void reset() {
        kept.reset();
        depth = 0;
        inString = false;
        escaped = false;
    }

    /** Whether an object has begun that has not ended. */
    boolean partial() {
        return depth > 0;
    }

    /** Anything between objects but blanks and line ends brings an exception. */
    void feed(byte one) {
        if (depth == 0 && one != '{') {
            if (one == '\n') {
                emptyLine.run();
            } else if (one != ' ' && one != '\t' && one != '\r') {
                throw new IllegalArgumentException("no object begins with byte " + (one & 0xff));
            }
            return;
        }
        kept.write(one);
        if (kept.size() > longest) {
            throw new IllegalArgumentException("an object of more than " + longest + " bytes");
        }
        if (inString) {
            if (escaped) {
                escaped = false;
            } else if (one == '\\') {
                escaped = true;
            } else if (one == '"') {
                inString = false;
            }
        } else if (one == '"') {
            inString = true;
        } else if (one == '{' || one == '[') {
            depth++;
        } else if ((one == '}' || one == ']') && --depth == 0) {
            String text = kept.toString(StandardCharsets.UTF_8);
            kept.reset();
            object.accept(text);
        }
    }
}
