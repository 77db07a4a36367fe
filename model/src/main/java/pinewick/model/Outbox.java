package pinewick.model;

/** Where the deciding classes put messages for other processes. Best effort, never blocks. */
@FunctionalInterface
public interface Outbox {
    /** Sends a message to the process that listens at {@code peer}. */
    void send(SocketAddress peer, Message message);
}
