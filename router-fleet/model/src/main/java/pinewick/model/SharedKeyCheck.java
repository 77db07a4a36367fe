package pinewick.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Finds tenants that share an API key: a request with such a key could not be attributed to one tenant. */
final class SharedKeyCheck {
    private final Map<ApiKeyDigest, String> firstTenants = new HashMap<>();
    /** A second tenant of each shared key. */
    private final Map<ApiKeyDigest, String> otherTenants = new HashMap<>();

    /** Adds a fault for each shared key of each tenant; it names another tenant with this key, and never the key. */
    void report(Collection<Tenant> tenants, FaultList faults) {
        tenants.forEach(this::addKeys);
        if (!otherTenants.isEmpty()) {
            tenants.forEach(tenant -> reportSharedKeys(tenant, faults));
        }
    }

    private void addKeys(Tenant tenant) {
        for (ApiKeyDigest key : tenant.keys()) {
            if (firstTenants.putIfAbsent(key, tenant.name()) != null) {
                otherTenants.putIfAbsent(key, tenant.name());
            }
        }
    }

    private void reportSharedKeys(Tenant tenant, FaultList faults) {
        for (ApiKeyDigest key : tenant.keys()) {
            if (otherTenants.containsKey(key)) {
                String first = firstTenants.get(key);
                String other = first.equals(tenant.name()) ? otherTenants.get(key) : first;
                faults.add(
                        RoutingTableBuilder.TENANTS + "/" + tenant.name(),
                        TenantBuilder.API_KEYS,
                        "shares a key (fingerprint " + key.fingerprint() + ") with tenant '" + other
                                + "'; give each tenant keys of its own");
            }
        }
    }
}
