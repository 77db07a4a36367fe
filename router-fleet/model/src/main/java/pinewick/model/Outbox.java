package pinewick.model;

/** Sends messages to other processes on behalf of classes without I/O. Best effort; never blocks. */
@FunctionalInterface
public interface Outbox {
    /** Sends a message to the process that listens at {@code peer}. */
    void send(SocketAddress peer, Message message);
}
