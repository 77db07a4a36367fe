package pinewick.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The checked, typed view of one configuration version that the data plane looks routes up in. Immutable. */
public final class RoutingTable {
    /** No routes. */
    public static final RoutingTable EMPTY = new RoutingTable(0, List.of(), List.of(), RequestLimits.DEFAULT);

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final RequestLimits limits;

    public RoutingTable(long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
        this.version = version;
        this.limits = limits;
        routes.forEach(route ->
                routesByHost.computeIfAbsent(route.hostname(), host -> new ArrayList<>()).add(route));
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        routesByHost.values().forEach(ofHost -> ofHost.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    public long version() {
        return version;
    }

    public RequestLimits limits() {
        return limits;
    }

    /** The route of {@code host} whose prefix begins {@code path} and is longest. */
    public Optional<Route> find(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Every service, by name. */
    public Map<String, ServiceSpec> services() {
        return Map.copyOf(services);
    }
}
