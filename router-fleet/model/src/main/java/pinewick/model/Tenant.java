package pinewick.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A validated tenant of the operator's configuration: a client organisation with its own API keys and quota.
 *
 * @param name unique name
 * @param keys digests of its API keys, in the operator's order; not shared with other tenants
 * @param priority overrides the priority of the route; 0 is the highest; empty to use the route's
 * @param limit its quota
 */
public record Tenant(String name, Set<ApiKeyDigest> keys, OptionalInt priority, QuotaLimit limit) {
    public Tenant {
        keys = Collections.unmodifiableSet(new LinkedHashSet<>(keys));
    }
}
