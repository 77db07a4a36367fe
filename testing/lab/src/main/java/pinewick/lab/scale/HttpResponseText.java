package pinewick.lab.scale;

import java.util.Locale;

/** As much of HTTP/1.1 as it takes to read a short answer with a length. */
final class HttpResponseText {
    private static final String LENGTH = "\r\ncontent-length:";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int STATUS_AT = 9;

    private HttpResponseText() {}

    /** Whether head and body are there. */
    static boolean isWhole(String text) {
        int end = text.indexOf(END_OF_HEAD);
        return end >= 0 && text.length() >= end + END_OF_HEAD.length() + length(text.substring(0, end));
    }

    private static int length(String head) {
        int at = head.toLowerCase(Locale.ROOT).indexOf(LENGTH);
        if (at < 0) {
            return 0;
        }
        String rest = head.substring(at + LENGTH.length());
        int end = rest.indexOf("\r\n");
        return Integer.parseInt((end < 0 ? rest : rest.substring(0, end)).trim());
    }

    /** The status code. */
    static int status(String text) {
        return Integer.parseInt(text.substring(STATUS_AT, STATUS_AT + 3));
    }
}
