package pinewick.control;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;

/**
 * Creates connections that are closed by a TCP reset: data that was written but not yet delivered is dropped,
 * instead of being retransmitted by the operating system.
 */
final class ResettingConnector extends ClientConnector {
    private static final int LINGER_SECONDS = 0;

    @Override
    protected void configure(SelectableChannel channel) throws IOException {
        super.configure(channel);
        if (channel instanceof SocketChannel socket) {
            socket.setOption(StandardSocketOptions.SO_LINGER, LINGER_SECONDS);
        }
    }
}
