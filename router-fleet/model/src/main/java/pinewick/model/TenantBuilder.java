package pinewick.model;

import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/** Builds a {@link Tenant} from an item of the configuration and reports all its faults; none contains a key. */
final class TenantBuilder {
    /** Field with the API keys of a tenant. */
    static final String API_KEYS = "api_keys";

    private static final String UNIT = "unit";
    private static final String TOKEN_UNIT = "token_accounting";

    private final ItemFields fields;

    TenantBuilder(ItemFields fields) {
        this.fields = fields;
    }

    /** Builds the tenant. Faulty fields have defaults; the caller rejects the document if there are faults. */
    Tenant build() {
        return new Tenant(fields.requiredText("name"), keys(), priority(), limit());
    }

    private Set<ApiKeyDigest> keys() {
        Set<ApiKeyDigest> keys = new LinkedHashSet<>();
        int index = 0;
        for (JsonElement key : fields.list(API_KEYS)) {
            String position = API_KEYS + "[" + index++ + "]";
            if (key instanceof JsonPrimitive text
                    && text.isString()
                    && !text.getAsString().isEmpty()) {
                keys.add(ApiKeyDigest.of(text.getAsString()));
            } else {
                fields.fault(position, "is empty or no text; give each key as a text");
            }
        }
        return keys;
    }

    private OptionalInt priority() {
        return fields.has("priority") ? OptionalInt.of(fields.intNumber("priority", 0, 0)) : OptionalInt.empty();
    }

    private QuotaLimit limit() {
        QuotaLimit defaults = QuotaLimit.UNLIMITED;
        return new QuotaLimit(
                fields.nonNegativeNumber("rate_per_s", defaults.ratePerSecond()),
                fields.nonNegativeNumber("burst_size", defaults.burstSize()),
                unit(),
                fields.intNumber("uncached_tokens", 0, defaults.uncachedTokens()));
    }

    /** An unknown unit counts requests; it does not make the configuration invalid. */
    private QuotaUnit unit() {
        return fields.text(UNIT).filter(TOKEN_UNIT::equals).isPresent() ? QuotaUnit.TOKENS : QuotaUnit.REQUESTS;
    }
}
