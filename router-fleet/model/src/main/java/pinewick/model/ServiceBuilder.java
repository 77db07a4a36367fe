package pinewick.model;

import com.google.gson.JsonObject;

/** Builds a {@link ServiceSpec} from an item of the configuration and reports all its faults. */
final class ServiceBuilder {
    private static final String DEFAULT_HEALTH_CHECK_PATH = "/health";
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final int DEFAULT_SLOTS = 8;
    private static final long DEFAULT_KV_CACHE_TOKENS = 100_000;
    private static final int DEFAULT_KV_TOKEN_BYTES = 16_384;
    private static final double DEFAULT_LINK_BANDWIDTH_MBPS = 10_000;
    private static final double DEFAULT_HANDLE_TTL_SECONDS = 2;
    private static final double DEFAULT_SWITCH_TIME_SECONDS = 5;

    private final ItemFields fields;
    private final FaultList faults;

    ServiceBuilder(ItemFields fields, FaultList faults) {
        this.fields = fields;
        this.faults = faults;
    }

    /** Builds the service. Faulty fields have defaults; the caller rejects the document if there are faults. */
    ServiceSpec build() {
        return new ServiceSpec(
                fields.requiredText("name"),
                fields.text("health_check_path").orElse(DEFAULT_HEALTH_CHECK_PATH),
                fields.intNumber("max_connections", 1, DEFAULT_MAX_CONNECTIONS),
                fields.object("engine").map(this::engine));
    }

    private EngineSpec engine(JsonObject object) {
        ItemFields engine = new ItemFields(fields.item() + ".engine", object, faults);
        return new EngineSpec(
                engine.intNumber("slots", 1, DEFAULT_SLOTS),
                engine.longNumber("kv_cache_tokens", 0, DEFAULT_KV_CACHE_TOKENS),
                engine.intNumber("kv_token_bytes", 0, DEFAULT_KV_TOKEN_BYTES),
                engine.fraction("link_bandwidth_mbps", DEFAULT_LINK_BANDWIDTH_MBPS),
                engine.intNumber("stride", 1, 1),
                engine.fraction("handle_ttl_s", DEFAULT_HANDLE_TTL_SECONDS),
                engine.fraction("switch_time_s", DEFAULT_SWITCH_TIME_SECONDS));
    }
}
