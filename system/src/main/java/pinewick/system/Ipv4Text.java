package pinewick.system;

import java.util.regex.Pattern;

/** Recognises IPv4 addresses in dotted form. */
final class Ipv4Text {
    private static final int PARTS = 4;
    private static final int HIGHEST_PART = 255;
    private static final int LONGEST_PART = 3;
    private static final Pattern DOT = Pattern.compile(".", Pattern.LITERAL);

    private Ipv4Text() {}

    static boolean isAddress(String text) {
        String[] parts = DOT.split(text, -1);
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
        boolean digits = !part.isEmpty()
                && part.length() <= LONGEST_PART
                && part.chars().allMatch(character -> character >= '0' && character <= '9');
        return digits && Integer.parseInt(part) <= HIGHEST_PART;
    }
}
