package pinewick.transport;

import java.net.InetSocketAddress;

/** Receives the frames that arrive over connections. */
@FunctionalInterface
interface FrameReceiver {
    /** Handles one complete frame from a peer. The array may be reused after the call. */
    void receive(InetSocketAddress remote, byte[] bytes, int offset, int length);
}
