package pinewick.transport;

import java.net.InetSocketAddress;

/** Takes the frames that arrive. */
@FunctionalInterface
interface FrameReceiver {
    /** One whole frame from a peer; the bytes may be reused after the call. */
    void receive(InetSocketAddress remote, byte[] bytes, int offset, int length);
}
