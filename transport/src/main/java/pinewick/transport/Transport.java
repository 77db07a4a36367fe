package pinewick.transport;

import java.util.function.BiConsumer;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;

/** Sends and receives internal messages. */
public interface Transport extends Outbox, AutoCloseable {
    /** Where this process listens, TCP and UDP. */
    SocketAddress localAddress();

    /** Every message received is handed to {@code receiver} with its sender's listening address, on one thread. */
    void start(BiConsumer<SocketAddress, Message> receiver);

    /**
     * Sends over the peer's connection whatever the size. Messages sent this way to one peer arrive in
     * order, apart from
     * those that are lost because the connection breaks or the peer does not read.
     */
    default void sendOrdered(SocketAddress peer, Message message) {
        send(peer, message);
    }

    /** Stops; what is queued is dropped. */
    @Override
    void close();
}
