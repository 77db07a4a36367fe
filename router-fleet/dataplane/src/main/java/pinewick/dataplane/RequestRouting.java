package pinewick.dataplane;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import pinewick.model.Route;
import pinewick.model.RoutingTable;
import pinewick.model.ServiceSpec;
import pinewick.selection.RequestShape;

/**
 * Finds the route of a request in the configuration in force, draws one of its services by weight, and builds the
 * request's description for the replica selection.
 */
final class RequestRouting {
    private static final double NANOS_PER_MS = 1e6;

    private final Supplier<RoutingTable> routingTable;
    private final ReplicaDirectory directory;
    private final RandomGenerator random;

    RequestRouting(Supplier<RoutingTable> routingTable, ReplicaDirectory directory, RandomGenerator random) {
        this.routingTable = routingTable;
        this.directory = directory;
        this.random = random;
    }

    /** Time at which the first byte of the request arrived, on the clock of {@link JettyTimers}, milliseconds. */
    static double arrivedAtMs(Request request) {
        return request.getBeginNanoTime() / NANOS_PER_MS;
    }

    /** The route in force for the request's host and path. May be called on any thread. */
    Optional<Route> find(Request request) {
        return routingTable.get().find(hostOf(request), request.getHttpURI().getPath());
    }

    private static String hostOf(Request request) {
        String host = request.getHeaders().get(HttpHeader.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
    }

    /**
     * The description of the request for the replica selection; empty if no service of its route has a positive weight.
     */
    Optional<RequestShape> shapeOf(Route route, Request request) {
        return drawService(route).map(service -> shapeOf(route, service, request));
    }

    /**
     * Draws a service by the route's weights. Services without a replica are skipped as long as another service has
     * one.
     */
    private Optional<String> drawService(Route route) {
        if (route.split().size() == 1) {
            return Optional.of(route.split().get(0).service());
        }
        Optional<String> served =
                draw(route, service -> !directory.candidates(service).isEmpty());
        return served.isPresent() ? served : draw(route, service -> true);
    }

    private Optional<String> draw(Route route, Predicate<String> allowed) {
        List<Route.WeightedService> services = route.split().stream()
                .filter(each -> each.weight() > 0 && allowed.test(each.service()))
                .toList();
        int total = services.stream().mapToInt(Route.WeightedService::weight).sum();
        int drawn = total == 0 ? 0 : random.nextInt(total);
        for (Route.WeightedService each : services) {
            drawn -= each.weight();
            if (drawn < 0) {
                return Optional.of(each.service());
            }
        }
        return Optional.empty();
    }

    private RequestShape shapeOf(Route route, String service, Request request) {
        HttpFields fields = request.getHeaders();
        boolean generation =
                routingTable.get().service(service).flatMap(ServiceSpec::engine).isPresent();
        PromptHeaders prompt = PromptHeaders.parse(fields);
        double arrivedAtMs = arrivedAtMs(request);
        return new RequestShape(
                route,
                service,
                generation,
                generation ? prompt.model() : "",
                generation ? prompt.promptTokens() : 0,
                generation ? prompt.outputTokens() : 0,
                generation ? prompt.parts() : List.of(),
                arrivedAtMs,
                arrivedAtMs + ClientDeadline.timeoutMs(fields, route.timeoutMs()));
    }
}
