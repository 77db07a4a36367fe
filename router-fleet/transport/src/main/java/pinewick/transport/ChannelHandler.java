package pinewick.transport;

/** Handles the events of one channel. Called on the selector thread only. */
interface ChannelHandler {
    /** Called when the channel is ready for an operation for which it is registered. */
    void onReady(double nowMs);

    /** Closes the channel. */
    void close();
}
