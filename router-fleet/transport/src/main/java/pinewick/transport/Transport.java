package pinewick.transport;

import java.util.function.BiConsumer;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/** Sends and receives internal messages. */
public interface Transport extends Outbox, AutoCloseable {
    /** The address at which this process listens, for both TCP and UDP. */
    SocketAddress localAddress();

    /**
     * Starts to pass every received message, with the listening address of its sender, to {@code receiver} on one
     * thread.
     */
    void start(BiConsumer<SocketAddress, Message> receiver);

    /**
     * Sends over the connection to the peer, regardless of the message's size. Messages sent this way to one peer
     * arrive in order, except for those that are lost because the connection breaks or the peer does not read.
     */
    default void sendOrdered(SocketAddress peer, Message message) {
        send(peer, message);
    }

    /** Stops the transport; queued messages are dropped. */
    @Override
    void close();
}
