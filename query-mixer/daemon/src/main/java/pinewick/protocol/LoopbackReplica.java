package pinewick.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;

/** The far end of a pipe in the rehearsal: answers each part at once. */
public final class LoopbackReplica {
    private final StreamConnection connection;
    private final EventLoop loop;
    private final FrameCodec.Decoder cutter;

    public LoopbackReplica(StreamConnection connection, EventLoop loop, Limits limits) {
        this.connection = connection;
        this.loop = loop;
        cutter = new FrameCodec.Decoder(limits.maxFrameBytes());
        connection.getSourceChannel().setReadListener(any -> loop.event("rehearsing a searcher", this::read));
        connection.getSourceChannel().resumeReads();
    }

    private void read() {
        ByteBuffer in = loop.readBuffer().clear();
        try {
            if (connection.getSourceChannel().read(in) < 0) {
                IoUtils.safeClose(connection);
                return;
            }
            cutter.feed(in.flip(), this::frame);
        } catch (IOException broken) {
            IoUtils.safeClose(connection);
        }
    }

    private void frame(ByteBuffer frame) {
        if (frame.get() == FrameCodec.CALL) {
            String left = StandardCharsets.UTF_8.decode(frame).toString();
            while (!left.isEmpty()) {
                int end = left.indexOf('\n');
                String[] words = left.substring(0, end).split(" ");
                answer(words[0] + " S 1 inflight=1,queue=0\n0123456789abcdef");
                left = left.substring(end + 1 + Integer.parseInt(words[3]));
            }
        }
    }

    private void answer(String text) {
        try {
            connection
                    .getSinkChannel()
                    .write(FrameCodec.frame(FrameCodec.ANSWER, text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException broken) {
            IoUtils.safeClose(connection);
        }
    }
}
