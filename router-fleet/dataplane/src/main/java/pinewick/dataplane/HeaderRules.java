package pinewick.dataplane;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Which header fields a router forwards, in either direction. */
final class HeaderRules {
    /** Fields that apply to one connection only; each side writes its own framing. */
    private static final Set<String> HOP_BY_HOP = names(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Content-Length");

    /** Fields that only routers may send to a replica, or that the router sets for each call. */
    private static final Set<String> SET_BY_ROUTER = names(
            "Expect",
            HeaderNames.SERVING_STAGE,
            HeaderNames.KV_FROM,
            HeaderNames.EXPECTED_INSTANCE,
            HeaderNames.DEADLINE_MS,
            HeaderNames.PRIORITY);

    private HeaderRules() {}

    /** The fields of a client's request that are forwarded to a replica. */
    static HttpFields.Mutable requestFields(HttpFields received) {
        Set<String> named = namedByConnection(received);
        HttpFields.Mutable forwarded = HttpFields.build();
        for (HttpField field : received) {
            if (endToEnd(field, named) && !SET_BY_ROUTER.contains(field.getName())) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }

    /** The fields of a replica's response that are forwarded to the client. */
    static HttpFields.Mutable responseFields(HttpFields received) {
        Set<String> named = namedByConnection(received);
        HttpFields.Mutable forwarded = HttpFields.build();
        for (HttpField field : received) {
            if (endToEnd(field, named)) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }

    private static boolean endToEnd(HttpField field, Set<String> namedByConnection) {
        String name = field.getName();
        return !HOP_BY_HOP.contains(name) && !namedByConnection.contains(name);
    }

    /**
     * Field names listed in {@code Connection}. {@code X-Pinewick-*} and {@code Host} are excluded, so that a sender
     * cannot have the request's id or the server's signature dropped that way.
     */
    private static Set<String> namedByConnection(HttpFields fields) {
        if (!fields.contains(HttpHeader.CONNECTION)) {
            return Set.of();
        }
        Set<String> named = names(fields.getCSV(HttpHeader.CONNECTION, false).toArray(String[]::new));
        named.removeIf(HeaderRules::isAlwaysForwarded);
        return named;
    }

    private static boolean isAlwaysForwarded(String name) {
        return name.toLowerCase(Locale.ROOT).startsWith("x-pinewick-") || name.equalsIgnoreCase("host");
    }

    private static Set<String> names(String... names) {
        Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(names));
        return set;
    }
}
