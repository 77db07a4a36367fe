package pinewick.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;
import pinewick.loop.Loop;

/** A client's connection: how far its present request has come, as the raw bytes tell, beneath the reader of HTTP. */
final class Guest extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** SILENT: no byte ever; BETWEEN: none since an answer; LEAVING: told why, about to be closed. */
    enum Stage { SILENT, ARRIVING, ASKED, BETWEEN, LEAVING }

    final StreamConnection connection;
    private final Loop loop;
    private Stage stage = Stage.SILENT;
    private double since;
    private ByteBuffer ahead;
    /** Whether the head of a request was ever read. */
    boolean asked;

    Guest(StreamConnection connection, Loop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        since = loop.now();
        connection.getSourceChannel().setConduit(this);
    }

    Stage stage() {
        return stage;
    }

    void becomes(Stage next) {
        if (stage != next && stage != Stage.LEAVING) {
            stage = next;
            since = loop.now();
        }
    }

    /** How long it has been in its stage. */
    double age() {
        return loop.now() - since;
    }

    /**
     * Whether nothing of a request is there. Danger: a request that came in but was not read would be lost by a close.
     * What is found is kept for the reader, who is called.
     */
    boolean empty() {
        if (ahead == null && connection.isOpen()) {
            ByteBuffer found = ByteBuffer.allocate(64);
            try {
                if (next.read(found) > 0) {
                    ahead = found.flip();
                    becomes(Stage.ARRIVING);
                    next.wakeupReads();
                }
            } catch (IOException broken) {
                return true;
            }
        }
        return ahead == null;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (ahead != null) {
            int count = Math.min(ahead.remaining(), into.remaining());
            into.put(ahead.slice(ahead.position(), count));
            ahead.position(ahead.position() + count);
            ahead = ahead.hasRemaining() ? ahead : null;
            return count;
        }
        int count = next.read(into);
        if (count > 0 && (stage == Stage.SILENT || stage == Stage.BETWEEN)) {
            becomes(Stage.ARRIVING);
        }
        return count;
    }

    @Override
    public long read(ByteBuffer[] into, int from, int count) throws IOException {
        for (int each = from; each < from + count; each++) {
            if (into[each].hasRemaining()) {
                return read(into[each]);
            }
        }
        return 0;
    }
}
