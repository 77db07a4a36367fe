package pinewick.model;

/** An IPv4 address and a port. */
public record SocketAddress(String host, int port) implements Comparable<SocketAddress> {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has no port, or a port that is not a number or out of range
     */
    public static SocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not HOST:PORT");
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' has a port that is not a number", e);
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("'" + text + "' has a port out of range");
        }
        return new SocketAddress(text.substring(0, colon), port);
    }

    /**
     * Implemented explicitly: the generated methods of a record are linked at their first use, which is expensive
     * during process start-up.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof SocketAddress address && port == address.port && host.equals(address.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    @Override
    public int compareTo(SocketAddress other) {
        int hostOrder = host.compareTo(other.host);
        return hostOrder != 0 ? hostOrder : Integer.compare(port, other.port);
    }
}
