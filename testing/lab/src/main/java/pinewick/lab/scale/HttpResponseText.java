package pinewick.lab.scale;

import java.util.Locale;

/** A minimal HTTP/1.1 parser for short responses with a {@code Content-Length}. */
final class HttpResponseText {
    private static final String LENGTH = "\r\ncontent-length:";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int STATUS_OFFSET = 9;

    private HttpResponseText() {}

    /** Whether head and body have been received completely. */
    static boolean isComplete(String text) {
        int end = text.indexOf(END_OF_HEAD);
        return end >= 0 && text.length() >= end + END_OF_HEAD.length() + length(text.substring(0, end));
    }

    private static int length(String head) {
        int index = head.toLowerCase(Locale.ROOT).indexOf(LENGTH);
        if (index < 0) {
            return 0;
        }
        String rest = head.substring(index + LENGTH.length());
        int end = rest.indexOf("\r\n");
        return Integer.parseInt((end < 0 ? rest : rest.substring(0, end)).trim());
    }

    /** The status code. */
    static int status(String text) {
        return Integer.parseInt(text.substring(STATUS_OFFSET, STATUS_OFFSET + 3));
    }
}
