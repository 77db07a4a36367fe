package pinewick.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;

/** The replica end of an in-process pipe, for the warm-up run: answers each part at once. */
public final class LoopbackReplica {
    private final StreamConnection connection;
    private final EventLoop loop;
    private final FrameCodec.Decoder decoder;

    public LoopbackReplica(StreamConnection connection, EventLoop loop, Limits limits) {
        this.connection = connection;
        this.loop = loop;
        decoder = new FrameCodec.Decoder(limits.maxFrameBytes());
        connection.getSourceChannel().setReadListener(any -> loop.event("answering as a loopback replica", this::read));
        connection.getSourceChannel().resumeReads();
    }

    private void read() {
        ByteBuffer buffer = loop.readBuffer().clear();
        try {
            if (connection.getSourceChannel().read(buffer) < 0) {
                IoUtils.safeClose(connection);
                return;
            }
            decoder.feed(buffer.flip(), this::handleFrame);
        } catch (IOException broken) {
            IoUtils.safeClose(connection);
        }
    }

    private void handleFrame(ByteBuffer frame) {
        if (frame.get() == FrameCodec.CALL) {
            String remaining = StandardCharsets.UTF_8.decode(frame).toString();
            while (!remaining.isEmpty()) {
                int end = remaining.indexOf('\n');
                String[] words = remaining.substring(0, end).split(" ");
                respond(words[0] + " S 1 inflight=1,queue=0\n0123456789abcdef");
                remaining = remaining.substring(end + 1 + Integer.parseInt(words[3]));
            }
        }
    }

    private void respond(String text) {
        try {
            connection
                    .getSinkChannel()
                    .write(FrameCodec.frame(FrameCodec.RESPONSE, text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException broken) {
            IoUtils.safeClose(connection);
        }
    }
}
