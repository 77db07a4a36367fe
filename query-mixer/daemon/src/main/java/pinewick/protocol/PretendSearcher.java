package pinewick.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import pinewick.loop.Limits;
import pinewick.loop.Loop;

/** The far end of a pipe in the rehearsal: answers each part at once. */
public final class PretendSearcher {
    private final StreamConnection connection;
    private final Loop loop;
    private final Frames.Cutter cutter;

    public PretendSearcher(StreamConnection connection, Loop loop, Limits limits) {
        this.connection = connection;
        this.loop = loop;
        cutter = new Frames.Cutter(limits.frameBytes());
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
        if (frame.get() == Frames.CALL) {
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
            connection.getSinkChannel().write(Frames.frame(Frames.ANSWER, text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException broken) {
            IoUtils.safeClose(connection);
        }
    }
}
