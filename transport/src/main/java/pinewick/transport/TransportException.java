package pinewick.transport;

import pinewick.model.SocketAddress;

/** The transport could not be set up. */
public final class TransportException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient SocketAddress address;

    TransportException(String step, SocketAddress address, Throwable cause) {
        super(step + " at " + address + ": " + cause.getMessage(), cause);
        this.address = address;
    }

    /** The address that was to be used. */
    public SocketAddress address() {
        return address;
    }
}
