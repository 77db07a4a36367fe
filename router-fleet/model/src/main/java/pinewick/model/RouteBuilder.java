package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builds a {@link Route} from an item of the configuration and reports all its faults. */
final class RouteBuilder {
    private static final int MIN_TIMEOUT_MS = 1;
    /** Weights that are not integers are scaled to this sum. */
    private static final BigDecimal SCALED_SUM = BigDecimal.valueOf(1_000_000);

    private static final Map<String, RouteKind> KINDS = Map.of(
            "idempotent", RouteKind.IDEMPOTENT,
            "non_idempotent", RouteKind.NON_IDEMPOTENT,
            "streaming", RouteKind.STREAMING);
    private static final BigDecimal MAX_SUM = BigDecimal.valueOf(Integer.MAX_VALUE);

    private final ItemFields fields;
    private final Set<String> services;

    /** @param services names of the services of the document */
    RouteBuilder(ItemFields fields, Set<String> services) {
        this.fields = fields;
        this.services = services;
    }

    /** Builds the route. Faulty fields have defaults; the caller rejects the document if there are faults. */
    Route build() {
        String name = fields.requiredText("name");
        String hostname = fields.requiredText("hostname").toLowerCase(Locale.ROOT);
        String pathPrefix = pathPrefix();
        RouteKind kind = kind();
        int timeoutMs = timeoutMs();
        List<Route.WeightedService> split = split();
        return new Route(
                name,
                hostname,
                pathPrefix,
                kind,
                timeoutMs,
                fields.intNumber("target_latency_ms", 1, timeoutMs),
                fields.intNumber("priority", 0, 0),
                split,
                fields.intNumber("max_attempts", 1, 1),
                fields.flag("session_affinity"),
                fields.flag("resumable"),
                fields.intNumber("gap_aim_ms", 0, 0),
                fields.flag("anonymous"));
    }

    private String pathPrefix() {
        String prefix = fields.requiredText("path_prefix");
        if (!prefix.isEmpty() && !(prefix.startsWith("/") && prefix.endsWith("/"))) {
            fields.fault("path_prefix", "'" + prefix + "' does not begin and end with a slash");
        }
        return prefix;
    }

    private RouteKind kind() {
        String text = fields.requiredText("route_kind");
        RouteKind kind = KINDS.get(text);
        if (kind != null) {
            return kind;
        }
        if (!text.isEmpty()) {
            fields.fault("route_kind", "'" + text + "' is not one of idempotent, non_idempotent, streaming");
        }
        return RouteKind.NON_IDEMPOTENT;
    }

    private int timeoutMs() {
        if (!fields.has("timeout_ms")) {
            fields.fault("timeout_ms", "is missing; give a time above 0");
            return MIN_TIMEOUT_MS;
        }
        Optional<BigDecimal> timeout = fields.number("timeout_ms");
        if (timeout.isEmpty()) {
            return MIN_TIMEOUT_MS;
        }
        if (timeout.get().signum() <= 0) {
            fields.fault("timeout_ms", "is " + timeout.get().toPlainString() + "; give a time above 0");
        }
        return fields.intNumber("timeout_ms", MIN_TIMEOUT_MS, MIN_TIMEOUT_MS);
    }

    private List<Route.WeightedService> split() {
        String service = fields.text("service").orElse("");
        if (!service.isEmpty()) {
            requireKnown("service", service);
        }
        JsonArray split = fields.list("traffic_split");
        if (!split.isEmpty()) {
            return weightedServices(split);
        }
        if (service.isEmpty()) {
            fields.fault("service", "is missing, and so is traffic_split; name a service");
            return List.of();
        }
        return List.of(new Route.WeightedService(service, 1));
    }

    private List<Route.WeightedService> weightedServices(JsonArray split) {
        List<String> names = new ArrayList<>();
        List<BigDecimal> weights = new ArrayList<>();
        int index = 0;
        for (JsonElement entry : split) {
            String position = "traffic_split[" + index++ + "]";
            if (entry instanceof JsonObject object) {
                readWeightedService(position, object, names, weights);
            } else {
                fields.fault(position, "is not an object with service and weight");
            }
        }
        BigDecimal sum = BigDecimal.ZERO;
        for (BigDecimal weight : weights) {
            sum = sum.add(weight);
        }
        if (sum.signum() <= 0) {
            fields.fault(
                    "traffic_split",
                    "has weights that add up to " + sum.toPlainString() + "; at least one must be above 0");
            return List.of();
        }
        return toIntegerWeights(names, weights, sum);
    }

    private void readWeightedService(String position, JsonObject object, List<String> names, List<BigDecimal> weights) {
        String service = object.get("service") instanceof JsonPrimitive name ? name.getAsString() : "";
        if (service.isEmpty()) {
            fields.fault(position + ".service", "is missing; name a service");
        } else {
            requireKnown(position + ".service", service);
        }
        Optional<BigDecimal> weight = ItemFields.toNumber(object.get("weight"));
        if (weight.isEmpty()) {
            fields.fault(position + ".weight", "is missing or not a number; give a weight from 0 up");
        } else if (weight.get().signum() < 0) {
            fields.fault(position + ".weight", "is below 0; give a weight from 0 up");
        }
        names.add(service);
        weights.add(weight.orElse(BigDecimal.ZERO));
    }

    private static List<Route.WeightedService> toIntegerWeights(
            List<String> names, List<BigDecimal> weights, BigDecimal sum) {
        boolean isInteger = sum.compareTo(MAX_SUM) <= 0;
        for (BigDecimal weight : weights) {
            isInteger &= weight.scale() <= 0 || weight.remainder(BigDecimal.ONE).signum() == 0;
        }
        List<Route.WeightedService> split = new ArrayList<>();
        for (int index = 0; index < names.size(); index++) {
            BigDecimal weight = weights.get(index);
            int scaledWeight = isInteger
                    ? weight.intValue()
                    : weight.multiply(SCALED_SUM)
                            .divide(sum, 0, RoundingMode.CEILING)
                            .intValue();
            split.add(new Route.WeightedService(names.get(index), scaledWeight));
        }
        return split;
    }

    private void requireKnown(String field, String service) {
        if (!services.contains(service)) {
            fields.fault(field, "'" + service + "' is not a service of this configuration");
        }
    }
}
