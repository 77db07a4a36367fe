package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Builds the typed view of a document and reports all faults of the document. */
final class RoutingTableBuilder {
    /** Section with the routes. */
    static final String ROUTES = "routes";
    /** Section with the services. */
    static final String SERVICES = "services";
    /** Section with the tenants; optional. */
    static final String TENANTS = "tenants";
    /** Field with the limits for clients. */
    static final String LIMITS = "limits";

    private final ConfigurationDocument document;
    private final FaultList faults;

    RoutingTableBuilder(ConfigurationDocument document, FaultList faults) {
        this.document = document;
        this.faults = faults;
    }

    /** Builds the table; valid only if no fault was reported. */
    RoutingTable build() {
        List<Route> routes = routes();
        List<ServiceSpec> services = new ArrayList<>();
        items(SERVICES)
                .forEach((name, item) -> services.add(
                        new ServiceBuilder(new ItemFields(SERVICES + "/" + name, item, faults), faults).build()));
        return new RoutingTable(
                document.version(),
                routes,
                services,
                limits(),
                document.sections().containsKey(TENANTS),
                tenants());
    }

    private List<Route> routes() {
        List<Route> routes = new ArrayList<>();
        Map<String, String> routeNamesByPrefix = new HashMap<>();
        items(ROUTES).forEach((name, item) -> {
            ItemFields fields = new ItemFields(ROUTES + "/" + name, item, faults);
            Route route = new RouteBuilder(fields, items(SERVICES).keySet()).build();
            String earlierRoute = routeNamesByPrefix.putIfAbsent(route.hostname() + " " + route.pathPrefix(), name);
            if (earlierRoute != null
                    && !route.hostname().isEmpty()
                    && !route.pathPrefix().isEmpty()) {
                fields.fault(
                        "path_prefix", "has the host and prefix of route '" + earlierRoute + "'; change one of them");
            }
            routes.add(route);
        });
        return routes;
    }

    /** Builds the tenants; valid only if no fault was reported. */
    List<Tenant> tenants() {
        JsonElement field = document.fields().get(TENANTS);
        if (field != null && !field.isJsonNull()) {
            // Only a release without support for tenants can have stored such a document.
            faults.add(TENANTS, "", "is not a list of items with unique names");
        }
        List<Tenant> tenants = new ArrayList<>();
        items(TENANTS)
                .forEach((name, item) ->
                        tenants.add(new TenantBuilder(new ItemFields(TENANTS + "/" + name, item, faults)).build()));
        new SharedKeyCheck().report(tenants, faults);
        return tenants;
    }

    private RequestLimits limits() {
        JsonElement value = document.fields().get(LIMITS);
        if (value == null || value.isJsonNull()) {
            return RequestLimits.DEFAULT;
        }
        if (!(value instanceof JsonObject object)) {
            faults.add(LIMITS, "", "is not an object");
            return RequestLimits.DEFAULT;
        }
        ItemFields limits = new ItemFields(LIMITS, object, faults);
        RequestLimits defaults = RequestLimits.DEFAULT;
        return new RequestLimits(
                limits.intNumber("max_header_bytes", 0, defaults.maxHeaderBytes()),
                limits.intNumber("max_body_bytes", 0, defaults.maxBodyBytes()),
                limits.intNumber("header_timeout_ms", 0, defaults.headerTimeoutMs()),
                limits.intNumber("idle_timeout_ms", 0, defaults.idleTimeoutMs()));
    }

    private Map<String, JsonObject> items(String section) {
        return document.sections().getOrDefault(section, Map.of());
    }
}
