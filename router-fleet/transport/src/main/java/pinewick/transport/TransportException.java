package pinewick.transport;

import pinewick.model.SocketAddress;

/**
 * Thrown if the transport cannot be started. The operator has to check that the address belongs to this machine and
 * that no other process listens at it.
 */
public final class TransportException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient SocketAddress address;

    TransportException(String step, SocketAddress address, Throwable cause) {
        super(step + " at " + address + ": " + cause.getMessage(), cause);
        this.address = address;
    }

    /** The address that could not be used. */
    public SocketAddress address() {
        return address;
    }
}
