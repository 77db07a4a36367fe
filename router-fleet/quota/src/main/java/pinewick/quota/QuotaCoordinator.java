package pinewick.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.model.QuotaLimit;
import pinewick.model.SocketAddress;
import pinewick.model.Tenant;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaMessages.QuotaVerdict;

/**
 * Decides on every request of a tenant with a limit, at the controller that is the primary. It grants only while its
 * caller vouches that no other process can (<em>authority</em>): the lease of its epoch is valid, and that of every
 * earlier primary has ended. With a new authority all buckets start empty, so that no grants of an earlier coordinator
 * have to be known.
 *
 * <p>Precondition of a grant: it is asked for while the client's request waits at its router, and used for that request
 * alone. So whatever a lost or late reply does, what is executed in a window was granted in that window.
 *
 * <p>Control loop only.
 */
public final class QuotaCoordinator {
    /** A request that was sent again is recognised for at least this many requests. */
    private static final int REMEMBERED_GRANTS = 8_192;

    /** The bucket of a removed tenant is kept for this many windows, in case the tenant is added again. */
    private static final int WINDOWS_AFTER_REMOVAL = 4;

    private static final double MS_PER_SECOND = 1_000;

    private final QuotaPolicy policy;
    private final Map<String, Account> accounts = new HashMap<>();
    private final RecentGrants recentGrants = new RecentGrants();
    private Map<String, Tenant> tenants = Map.of();
    /** The last authority of this process, and whether it holds it now. */
    private Optional<Long> authority = Optional.empty();

    private boolean hasAuthority;

    private record GrantKey(SocketAddress sender, long requestId) {}

    /** The grants that a resent request may ask for again, oldest first. */
    private static final class RecentGrants extends LinkedHashMap<GrantKey, Boolean> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<GrantKey, Boolean> eldest) {
            return size() > REMEMBERED_GRANTS;
        }
    }

    /** The bucket of one tenant and what came of it. */
    private static final class Account {
        private final TenantBucket bucket;
        private double removedAtMs = Double.POSITIVE_INFINITY;
        private double granted;
        private double refused;

        Account(double nowMs) {
            bucket = new TenantBucket(nowMs);
        }
    }

    public QuotaCoordinator(QuotaPolicy policy) {
        this.policy = policy;
    }

    /** The tenants of the newest configuration. */
    public void setTenants(Collection<Tenant> newest, double nowMs) {
        Map<String, Tenant> byName = new HashMap<>();
        newest.forEach(tenant -> byName.put(tenant.name(), tenant));
        tenants = byName;
        if (authority.isPresent()) {
            updateAccounts(nowMs);
        }
    }

    /**
     * Whether this process may grant; to be called periodically and before {@link #decide}.
     *
     * @param current identifies the uninterrupted time in which no other process can grant; empty while one might
     */
    public void setAuthority(Optional<Long> current, double nowMs) {
        boolean isNew = current.isPresent() && !current.equals(authority);
        if (isNew) {
            authority = current;
            accounts.clear();
            recentGrants.clear();
            updateAccounts(nowMs);
        }
        hasAuthority = current.isPresent();
    }

    private void updateAccounts(double nowMs) {
        tenants.values().stream()
                .filter(tenant -> !tenant.limit().isUnlimited())
                .forEach(tenant -> updateAccount(tenant, nowMs));
        accounts.forEach((name, account) -> {
            boolean isLimited =
                    tenants.containsKey(name) && !tenants.get(name).limit().isUnlimited();
            account.removedAtMs = isLimited ? Double.POSITIVE_INFINITY : Math.min(account.removedAtMs, nowMs);
        });
        double oldestMs = nowMs - WINDOWS_AFTER_REMOVAL * policy.windowMs();
        accounts.values().removeIf(account -> account.removedAtMs < oldestMs);
    }

    private void updateAccount(Tenant tenant, double nowMs) {
        QuotaLimit limit = tenant.limit();
        accounts.computeIfAbsent(tenant.name(), name -> new Account(nowMs))
                .bucket
                .setLimit(limit.ratePerSecond() / MS_PER_SECOND, limit.burstSize(), policy, nowMs);
    }

    /**
     * Decides on a request.
     *
     * @param knownCoordinator address of the coordinator as far as this process knows
     */
    public QuotaReply decide(
            SocketAddress sender, QuotaRequest request, Optional<SocketAddress> knownCoordinator, double nowMs) {
        SocketAddress coordinator = knownCoordinator.orElse(null);
        if (!hasAuthority) {
            return new QuotaReply(request.requestId(), QuotaVerdict.NOT_COORDINATOR, 0, coordinator);
        }
        Tenant tenant = tenants.get(request.tenant());
        if (tenant == null) {
            return new QuotaReply(request.requestId(), QuotaVerdict.UNKNOWN_TENANT, 0, coordinator);
        }
        GrantKey key = new GrantKey(sender, request.requestId());
        if (tenant.limit().isUnlimited() || recentGrants.containsKey(key)) {
            return new QuotaReply(request.requestId(), QuotaVerdict.GRANTED, 0, coordinator);
        }
        Account account = accounts.get(request.tenant());
        int cost = Math.max(0, request.cost());
        if (account.bucket.tryGrant(cost, nowMs)) {
            account.granted += cost;
            recentGrants.put(key, Boolean.TRUE);
            return new QuotaReply(request.requestId(), QuotaVerdict.GRANTED, 0, coordinator);
        }
        account.refused += cost;
        int waitMs = (int) Math.min(Integer.MAX_VALUE, Math.ceil(account.bucket.waitMs(cost, nowMs)));
        return new QuotaReply(request.requestId(), QuotaVerdict.OVER_LIMIT, waitMs, coordinator);
    }

    /** What was granted and refused, by tenant; empty while this process is not the coordinator. */
    public List<TenantUsage> usage(double nowMs) {
        List<TenantUsage> usage = new ArrayList<>();
        if (hasAuthority) {
            accounts.forEach((name, account) -> usage.add(usage(name, account, nowMs)));
        }
        return usage;
    }

    private TenantUsage usage(String name, Account account, double nowMs) {
        double ratePerSecond = Optional.ofNullable(tenants.get(name))
                .map(tenant -> tenant.limit().ratePerSecond())
                .orElse(0.0);
        return new TenantUsage(name, ratePerSecond, account.bucket.level(nowMs), account.granted, account.refused);
    }
}
