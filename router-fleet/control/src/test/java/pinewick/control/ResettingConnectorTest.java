package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

/** Unsent data of a connection is discarded when it is closed. */
class ResettingConnectorTest {
    @Test
    void resetsAConnectionOnClose() throws Exception {
        try (SocketChannel channel = SocketChannel.open()) {
            new ResettingConnector().configure(channel);
            assertEquals(0, channel.getOption(StandardSocketOptions.SO_LINGER));
        }
    }
}
