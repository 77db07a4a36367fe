package pinewick.model;

/** Syntax checks of IPv4 addresses; host names are not resolved. */
public final class Ipv4Address {
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;

    private Ipv4Address() {}

    /** Whether {@code text} is an IPv4 address in dotted-decimal notation. */
    public static boolean isLiteral(String text) {
        String[] octets = text.split("\\.", -1);
        if (octets.length != OCTETS) {
            return false;
        }
        for (String octet : octets) {
            if (!isOctet(octet)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isOctet(String octet) {
        if (octet.isEmpty() || octet.length() > MAX_OCTET_DIGITS) {
            return false;
        }
        for (int i = 0; i < octet.length(); i++) {
            if (octet.charAt(i) < '0' || octet.charAt(i) > '9') {
                return false;
            }
        }
        return Integer.parseInt(octet) <= MAX_OCTET;
    }
}
