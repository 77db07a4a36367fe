package pinewick.dataplane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The endpoint of a connection to a replica. Jetty's endpoint reports a reset connection as closed; this one reports a
 * reset as an error, because a response without a length is complete only after an orderly close.
 */
final class UpstreamEndPoint extends SocketChannelEndPoint {
    UpstreamEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
