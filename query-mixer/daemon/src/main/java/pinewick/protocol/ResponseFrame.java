package pinewick.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import pinewick.core.DeploymentParser;
import pinewick.core.SchedulerHost;

/**
 * A response as a replica sends it: a line with part id, outcome, a number and a load report, followed by the value.
 *
 * @param part id of the part
 * @param wellFormed whether the other fields are usable; if not, {@code end} is blank
 * @param end the letter that denotes the outcome
 * @param report load of the replica; null if it cannot be parsed
 */
record ResponseFrame(String part, boolean wellFormed, char end, SchedulerHost.LoadReport report, byte[] value) {
    private static final int FIELD_COUNT = 4;
    private static final int SPLIT_LIMIT = 5;
    private static final String OUTCOME_LETTERS = "SEB";
    private static final char SUCCESS = 'S';
    private static final String NUMBER = "[-+0-9.eE]+";

    /** Parses the payload of a frame, the bytes after its type. */
    static ResponseFrame read(byte[] payload) {
        int lineEnd = lineEnd(payload);
        String[] words = words(payload, lineEnd);
        boolean isWellFormed = lineEnd < payload.length
                && words.length == FIELD_COUNT
                && words[1].length() == 1
                && OUTCOME_LETTERS.indexOf(words[1].charAt(0)) >= 0
                && words[2].matches(NUMBER);
        if (!isWellFormed) {
            return malformed(words[0]);
        }
        char end = words[1].charAt(0);
        byte[] value = Arrays.copyOfRange(payload, lineEnd + 1, payload.length);
        if (end == SUCCESS && !QueryJson.isValidValue(value)) {
            return malformed(words[0]);
        }
        return new ResponseFrame(words[0], true, end, report(words[3]), value);
    }

    private static ResponseFrame malformed(String part) {
        return new ResponseFrame(part, false, ' ', null, new byte[0]);
    }

    /** The first word of a payload, which in most frame types is a part id. */
    static String firstWord(byte[] payload) {
        return words(payload, lineEnd(payload))[0];
    }

    /** Parses a load report; null if it is invalid, so that an invalid report does not cost the response. */
    static SchedulerHost.LoadReport report(String text) {
        try {
            return DeploymentParser.parseLoadReport(text, '=');
        } catch (RuntimeException invalid) {
            return null;
        }
    }

    private static int lineEnd(byte[] payload) {
        int end = 0;
        while (end < payload.length && payload[end] != '\n') {
            end++;
        }
        return end;
    }

    private static String[] words(byte[] payload, int lineEnd) {
        return new String(payload, 0, lineEnd, StandardCharsets.UTF_8).split(" ", SPLIT_LIMIT);
    }
}
