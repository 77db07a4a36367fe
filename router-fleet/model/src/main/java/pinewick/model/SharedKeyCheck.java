package pinewick.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Finds tenants that share a key, which would leave open whose request it is. */
final class SharedKeyCheck {
    private final Map<ApiKeyDigest, String> firstHolders = new HashMap<>();
    /** A further holder of each key that is shared. */
    private final Map<ApiKeyDigest, String> otherHolders = new HashMap<>();

    /** Adds a fault for each shared key of each of its holders; it names another holder and never the key. */
    void report(Collection<Tenant> tenants, FaultList faults) {
        tenants.forEach(this::addKeys);
        if (!otherHolders.isEmpty()) {
            tenants.forEach(tenant -> reportSharedKeys(tenant, faults));
        }
    }

    private void addKeys(Tenant tenant) {
        for (ApiKeyDigest key : tenant.keys()) {
            if (firstHolders.putIfAbsent(key, tenant.name()) != null) {
                otherHolders.putIfAbsent(key, tenant.name());
            }
        }
    }

    private void reportSharedKeys(Tenant tenant, FaultList faults) {
        for (ApiKeyDigest key : tenant.keys()) {
            if (otherHolders.containsKey(key)) {
                String first = firstHolders.get(key);
                String other = first.equals(tenant.name()) ? otherHolders.get(key) : first;
                faults.add(
                        RoutingTableBuilder.TENANTS + "/" + tenant.name(),
                        TenantBuilder.API_KEYS,
                        "shares a key (fingerprint " + key.fingerprint() + ") with tenant '" + other
                                + "'; give each tenant keys of its own");
            }
        }
    }
}
