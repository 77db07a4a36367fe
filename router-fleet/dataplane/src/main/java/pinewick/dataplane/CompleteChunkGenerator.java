package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/**
 * An HTTP generator that sends the line end of a chunk together with the chunk. Jetty's generator sends it with the
 * next chunk, so a client that reads complete chunks would get each event only when the next one arrives. Content to be
 * sent this way is created by {@link #withLineEnd}.
 */
final class CompleteChunkGenerator extends HttpGenerator {
    private static final int LINE_END_BYTES = 2;

    private boolean lineEndSent;

    /** Joins the chunks into one buffer whose array has a line end after the buffer's limit. */
    static ByteBuffer withLineEnd(Iterable<byte[]> chunks, int length) {
        ByteBuffer content = ByteBuffer.allocate(length + LINE_END_BYTES);
        chunks.forEach(content::put);
        content.put((byte) '\r').put((byte) '\n').flip();
        return content.limit(length);
    }

    @Override
    public Result generateResponse(
            MetaData.Response info, boolean head, ByteBuffer header, ByteBuffer chunk, ByteBuffer content, boolean last)
            throws IOException {
        boolean hasContent = BufferUtil.hasContent(content);
        Result result = super.generateResponse(info, head, header, chunk, content, last);
        if (result != Result.FLUSH) {
            return result;
        }
        if (lineEndSent && BufferUtil.hasContent(chunk)) {
            chunk.position(chunk.position() + LINE_END_BYTES);
            lineEndSent = false;
        }
        if (hasContent && isChunking() && !head && hasLineEnd(content)) {
            content.limit(content.limit() + LINE_END_BYTES);
            lineEndSent = true;
        }
        return result;
    }

    private static boolean hasLineEnd(ByteBuffer content) {
        return content.hasArray()
                && content.capacity() == content.limit() + LINE_END_BYTES
                && content.array()[content.arrayOffset() + content.limit()] == '\r';
    }

    @Override
    public void reset() {
        super.reset();
        lineEndSent = false;
    }
}
