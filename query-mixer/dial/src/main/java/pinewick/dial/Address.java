package pinewick.dial;

import java.util.Locale;

/**
 * One way to a searcher: {@code unix:/path}, {@code [v6]:port} or {@code v4:port}.
 *
 * @param host for the two families of IP, else the path
 * @param port 0 for a Unix socket
 */
public record Address(Kind kind, String host, int port) {
    /** The address family. */
    public enum Kind {
        UNIX,
        IPV6,
        IPV4
    }

    private static final int PATH_MOST = 104;

    /** Throws IllegalArgumentException that says what was expected. */
    public static Address read(String text) {
        if (text.startsWith("unix:")) {
            String path = text.substring(5);
            if (!path.startsWith("/") || path.length() > PATH_MOST || path.indexOf('\0') >= 0) {
                throw new IllegalArgumentException("'" + text + "': a path from the root of at most " + PATH_MOST
                        + " characters is expected after unix:");
            }
            return new Address(Kind.UNIX, path, 0);
        }
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        boolean six = host.matches("\\[[0-9a-fA-F:.]+]");
        boolean four = host.matches("([0-9]{1,3}\\.){3}[0-9]{1,3}");
        if ((!six && !four)
                || !port.matches("[0-9]{1,5}")
                || Integer.parseInt(port) < 1
                || Integer.parseInt(port) > 65_535) {
            throw new IllegalArgumentException(
                    "'" + text + "': unix:/path, [address]:port or address:port is expected");
        }
        return six
                ? new Address(
                        Kind.IPV6,
                        host.substring(1, host.length() - 1).toLowerCase(Locale.ROOT),
                        Integer.parseInt(port))
                : new Address(Kind.IPV4, host, Integer.parseInt(port));
    }

    @Override
    public String toString() {
        return switch (kind) {
            case UNIX -> "unix:" + host;
            case IPV6 -> "[" + host + "]:" + port;
            case IPV4 -> host + ":" + port;
        };
    }
}
