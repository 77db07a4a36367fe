package pinewick.model;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The validated, typed view of one configuration version, used by the data plane to look up routes. Immutable. */
public final class RoutingTable {
    /** A table without routes. */
    public static final RoutingTable EMPTY = new RoutingTable(0, List.of(), List.of(), RequestLimits.DEFAULT);

    private final long version;
    private final Map<String, HostRoutes> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services;
    private final RequestLimits limits;
    private final boolean requiresKeys;
    private final Map<String, Tenant> tenants;
    private final Map<ApiKeyDigest, Tenant> tenantsByKey = new HashMap<>();

    /**
     * Creates the table of a configuration without tenants.
     *
     * @param routes routes whose prefixes start and end with a slash, with unique pairs of host and prefix
     */
    public RoutingTable(long version, List<Route> routes, List<ServiceSpec> services, RequestLimits limits) {
        this(version, routes, services, limits, false, List.of());
    }

    /**
     * @param routes routes whose prefixes start and end with a slash, with unique pairs of host and prefix
     * @param requiresKeys whether the configuration has tenants, even if the list of them is empty
     * @param tenants tenants with unique names, no two of which share a key
     */
    public RoutingTable(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            RequestLimits limits,
            boolean requiresKeys,
            List<Tenant> tenants) {
        this.version = version;
        this.limits = limits;
        this.requiresKeys = requiresKeys;
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.hostname(), host -> new HostRoutes())
                    .add(route);
        }
        Map<String, ServiceSpec> servicesByName = new HashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        this.services = Collections.unmodifiableMap(servicesByName);
        Map<String, Tenant> tenantsByName = new LinkedHashMap<>();
        for (Tenant tenant : tenants) {
            tenantsByName.put(tenant.name(), tenant);
            tenant.keys().forEach(key -> tenantsByKey.put(key, tenant));
        }
        this.tenants = Collections.unmodifiableMap(tenantsByName);
    }

    public long version() {
        return version;
    }

    public RequestLimits limits() {
        return limits;
    }

    /**
     * Finds the route of {@code host} with the longest prefix of {@code path}. Prefixes end with a slash, so only the
     * substrings of the path up to each slash are looked up.
     */
    public Optional<Route> find(String host, String path) {
        return Optional.ofNullable(routesByHost.get(host)).flatMap(routes -> routes.find(path));
    }

    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Every service, by name. */
    public Map<String, ServiceSpec> services() {
        return services;
    }

    /** Whether requests need an API key unless their route is anonymous. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /** The tenant that owns an API key; empty if there is none. */
    public Optional<Tenant> tenantOfKey(String key) {
        return Optional.ofNullable(tenantsByKey.get(ApiKeyDigest.of(key)));
    }

    /** The tenant with this name; empty if there is none. */
    public Optional<Tenant> tenant(String name) {
        return Optional.ofNullable(tenants.get(name));
    }

    /** Every tenant, in the operator's order. */
    public Collection<Tenant> tenants() {
        return tenants.values();
    }

    /** The routes of one host. */
    private static final class HostRoutes {
        private final Map<String, Route> routesByPrefix = new HashMap<>();
        private int maxPrefixLength;

        void add(Route route) {
            routesByPrefix.put(route.pathPrefix(), route);
            maxPrefixLength = Math.max(maxPrefixLength, route.pathPrefix().length());
        }

        Optional<Route> find(String path) {
            int slash = path.lastIndexOf('/', maxPrefixLength - 1);
            while (slash >= 0) {
                Route route = routesByPrefix.get(path.substring(0, slash + 1));
                if (route != null) {
                    return Optional.of(route);
                }
                slash = path.lastIndexOf('/', slash - 1);
            }
            return Optional.empty();
        }
    }
}
