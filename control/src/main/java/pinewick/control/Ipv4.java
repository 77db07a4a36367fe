package pinewick.control;

/** Checks of IPv4 addresses; there is no name look-up on the machines. */
final class Ipv4 {
    private static final int PARTS = 4;
    private static final int HIGHEST_PART = 255;
    private static final int LONGEST_PART = 3;

    private Ipv4() {}

    /** Whether {@code text} is an IPv4 address in dotted form. */
    static boolean isLiteral(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return false;
        }
        for (String part : parts) {
            if (!isPart(part)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isPart(String part) {
        if (part.isEmpty() || part.length() > LONGEST_PART) {
            return false;
        }
        for (int i = 0; i < part.length(); i++) {
            if (part.charAt(i) < '0' || part.charAt(i) > '9') {
                return false;
            }
        }
        return Integer.parseInt(part) <= HIGHEST_PART;
    }
}
