package pinewick.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pinewick.core.DeploymentParser;
import pinewick.core.SchedulerHost;

/**
 * An answer as a searcher sends it: a line with the part, how it ended, a number and a load report, and then the value.
 *
 * @param part the part's id
 * @param wellFormed whether the rest can be used; else {@code end} is blank
 * @param end the letter that says how it ended
 * @param report the searcher's load; null where it can't be read
 */
record ResponseFrame(String part, boolean wellFormed, char end, SchedulerHost.LoadReport report, byte[] value) {
    private static final int WORDS = 4;
    private static final int MOST_WORDS = 5;
    private static final String ENDS = "SEB";
    private static final char SUCCESS = 'S';
    private static final String NUMBER = "[-+0-9.eE]+";

    /** Reads what follows the frame's letter. */
    static ResponseFrame read(byte[] rest) {
        int lineEnd = lineEnd(rest);
        String[] words = words(rest, lineEnd);
        boolean formed = lineEnd < rest.length
                && words.length == WORDS
                && words[1].length() == 1
                && ENDS.indexOf(words[1].charAt(0)) >= 0
                && words[2].matches(NUMBER);
        if (!formed) {
            return malformed(words[0]);
        }
        char end = words[1].charAt(0);
        byte[] value = Arrays.copyOfRange(rest, lineEnd + 1, rest.length);
        if (end == SUCCESS && !QueryJson.fitsAnAnswer(value)) {
            return malformed(words[0]);
        }
        return new ResponseFrame(words[0], true, end, report(words[3]), value);
    }

    private static ResponseFrame malformed(String part) {
        return new ResponseFrame(part, false, ' ', null, new byte[0]);
    }

    /** The first word of a frame, which in most names a part. */
    static String firstWord(byte[] rest) {
        return words(rest, lineEnd(rest))[0];
    }

    /** Danger: an answer would be lost for a report that can't be read. It counts as none. */
    static SchedulerHost.LoadReport report(String text) {
        try {
            return DeploymentParser.parseLoadReport(text, '=');
        } catch (RuntimeException unreadable) {
            return null;
        }
    }

    private static int lineEnd(byte[] rest) {
        int end = 0;
        while (end < rest.length && rest[end] != '\n') {
            end++;
        }
        return end;
    }

    private static String[] words(byte[] rest, int lineEnd) {
        return new String(rest, 0, lineEnd, StandardCharsets.UTF_8).split(" ", MOST_WORDS);
    }
}
