package pinewick.dataplane;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;
import pinewick.model.Tenant;

/**
 * The amount by which a request is charged against its tenant's quota.
 *
 * @param tenant name of the tenant
 * @param limit its limit
 * @param cost amount in the unit of the limit: requests or tokens
 */
record QuotaCharge(String tenant, QuotaLimit limit, int cost) {
    private static final int TOKEN_COUNTS = 2;

    /** The charge of a request; empty if its tenant has no limit. */
    static Optional<QuotaCharge> of(Tenant tenant, HttpFields fields) {
        QuotaLimit limit = tenant.limit();
        if (limit.isUnlimited()) {
            return Optional.empty();
        }
        int cost = limit.unit() == QuotaUnit.TOKENS ? tokens(limit, fields) : 1;
        return Optional.of(new QuotaCharge(tenant.name(), limit, cost));
    }

    /** The prompt tokens plus the output limit, or the limit's default for a request that does not state them. */
    private static int tokens(QuotaLimit limit, HttpFields fields) {
        String counts = fields.get(HeaderNames.TOKEN_COUNT);
        if (counts == null) {
            return limit.uncachedTokens();
        }
        String[] numbers = counts.split(",", -1);
        if (numbers.length != TOKEN_COUNTS) {
            return limit.uncachedTokens();
        }
        try {
            return (int) Math.min(Integer.MAX_VALUE, clampedNumber(numbers[0]) + clampedNumber(numbers[1]));
        } catch (NumberFormatException e) {
            return limit.uncachedTokens();
        }
    }

    private static long clampedNumber(String text) {
        return Math.max(0, Math.min(Integer.MAX_VALUE, Long.parseLong(text.trim())));
    }
}
