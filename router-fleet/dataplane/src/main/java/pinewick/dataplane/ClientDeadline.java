package pinewick.dataplane;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;

/** The time within which a client expects its response, from its {@code X-Pinewick-Deadline-Ms} header fields. */
final class ClientDeadline {
    /** Lower bound on a client's time, milliseconds. */
    static final double MIN_TIMEOUT_MS = 1;

    private static final Pattern MILLISECONDS_PATTERN = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    private ClientDeadline() {}

    /**
     * The shortest time that the client sends, milliseconds, so that no replica is given a later deadline than the
     * client's; empty if it sends none that can be parsed.
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

    /** The timeout of a request: the route's, or the client's if that is shorter, milliseconds. */
    static double timeoutMs(HttpFields fields, int routeTimeoutMs) {
        return Math.min(routeTimeoutMs, parse(fields).orElse(routeTimeoutMs));
    }
}
