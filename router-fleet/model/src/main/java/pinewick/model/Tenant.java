package pinewick.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One tenant of the operator's configuration, validated: a client organisation with keys and a quota of its own.
 *
 * @param name unique name
 * @param keys digests of its API keys, in the operator's order; no other tenant has any of them
 * @param priority takes precedence over that of the route; 0 is the most urgent; empty for the route's
 * @param limit its quota
 */
public record Tenant(String name, Set<ApiKeyDigest> keys, OptionalInt priority, QuotaLimit limit) {
    public Tenant {
        keys = Collections.unmodifiableSet(new LinkedHashSet<>(keys));
    }
}
