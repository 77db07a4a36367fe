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

    /** Stops; what is queued is dropped. */
    @Override
    void close();
}
