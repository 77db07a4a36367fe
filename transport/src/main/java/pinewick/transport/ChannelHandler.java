package pinewick.transport;

/** What the selector's thread calls for one channel. */
interface ChannelHandler {
    /** The channel is ready for something it was registered for. */
    void ready(double nowMs);

    /** Closes the channel. */
    void close();
}
