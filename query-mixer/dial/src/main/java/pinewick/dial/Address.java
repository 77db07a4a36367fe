package pinewick.dial;

import java.util.Locale;

/**
 * The address of a back end's listening socket: {@code unix:/path}, {@code [v6]:port} or {@code v4:port}.
 *
 * @param host the IP address for IPv6 and IPv4, the path for a Unix socket
 * @param port 0 for a Unix socket
 */
public record Address(Family family, String host, int port) {
    /** The address family. */
    public enum Family {
        UNIX,
        IPV6,
        IPV4
    }

    private static final int MAX_PATH_LENGTH = 104;

    /** Parses an address. Throws IllegalArgumentException with a message that says which forms are accepted. */
    public static Address parse(String text) {
        if (text.startsWith("unix:")) {
            String path = text.substring(5);
            if (!path.startsWith("/") || path.length() > MAX_PATH_LENGTH || path.indexOf('\0') >= 0) {
                throw new IllegalArgumentException("'" + text + "': an absolute path of at most " + MAX_PATH_LENGTH
                        + " characters is expected after unix:");
            }
            return new Address(Family.UNIX, path, 0);
        }
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        boolean isIpv6 = host.matches("\\[[0-9a-fA-F:.]+]");
        boolean isIpv4 = host.matches("([0-9]{1,3}\\.){3}[0-9]{1,3}");
        if ((!isIpv6 && !isIpv4)
                || !port.matches("[0-9]{1,5}")
                || Integer.parseInt(port) < 1
                || Integer.parseInt(port) > 65_535) {
            throw new IllegalArgumentException(
                    "'" + text + "': unix:/path, [address]:port or address:port is expected");
        }
        return isIpv6
                ? new Address(
                        Family.IPV6,
                        host.substring(1, host.length() - 1).toLowerCase(Locale.ROOT),
                        Integer.parseInt(port))
                : new Address(Family.IPV4, host, Integer.parseInt(port));
    }

    @Override
    public String toString() {
        return switch (family) {
            case UNIX -> "unix:" + host;
            case IPV6 -> "[" + host + "]:" + port;
            case IPV4 -> host + ":" + port;
        };
    }
}
