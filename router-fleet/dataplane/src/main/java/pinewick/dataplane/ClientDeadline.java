package pinewick.dataplane;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;

/** The time within which a client wants its response, by its {@code X-Pinewick-Deadline-Ms} fields. */
final class ClientDeadline {
    /** Least time that counts, milliseconds. */
    static final double MIN_TIMEOUT_MS = 1;

    private static final Pattern MILLISECONDS_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    private ClientDeadline() {}

    /**
     * The shortest time that the client sends, so that no replica is ever given a later deadline; empty if it sends
     * none that can be parsed.
     */
    static OptionalDouble parse(HttpFields fields) {
        List<String> values = fields.getValuesList(HeaderNames.DEADLINE_MS);
        return values.stream()
                .flatMap(value -> List.of(value.split(",")).stream())
                .map(String::trim)
                .filter(value -> MILLISECONDS_PATTERN.matcher(value).matches())
                .mapToDouble(value -> Math.max(MIN_TIMEOUT_MS, Double.parseDouble(value)))
                .min();
    }

    /** The time for a request: the route's timeout, or the client's if that is shorter, milliseconds. */
    static double timeoutMs(HttpFields fields, int routeTimeoutMs) {
        return Math.min(routeTimeoutMs, parse(fields).orElse(routeTimeoutMs));
    }
}
