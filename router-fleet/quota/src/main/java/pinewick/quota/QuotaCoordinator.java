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
 * Decides at the primary controller on the requests of all tenants with a limit. It grants only while it has
 * <em>authority</em>, that is while its caller guarantees that no other process can grant: the lease of its epoch is
 * valid and that of every earlier primary has ended. With a new authority all buckets start empty, so that the grants
 * of an earlier coordinator need not be known.
 *
 * <p>Precondition of a grant: the router requests it while the client's request waits there, and uses it for that
 * request only. Then what is sent and executed within a window was granted within that window, even if replies are lost
 * or late.
 *
 * <p>Not thread-safe: control loop only.
 */
public final class QuotaCoordinator {
    /** Number of grants that are remembered, so that a resent request is not charged twice. */
    private static final int MAX_RECENT_GRANTS = 8_192;

    /** Windows for which the bucket of a removed tenant is kept, in case the tenant is added again. */
    private static final int REMOVED_RETENTION_WINDOWS = 4;

    private static final double MS_PER_SECOND = 1_000;

    private final QuotaPolicy policy;
    private final Map<String, Account> accounts = new HashMap<>();
    private final RecentGrants recentGrants = new RecentGrants();
    private Map<String, Tenant> tenants = Map.of();
    /** The last authority of this process; {@link #hasAuthority} returns whether it is still valid. */
    private Optional<Long> authority = Optional.empty();

    private boolean hasAuthority;

    private record GrantKey(SocketAddress sender, long requestId) {}

    /** The latest grants, oldest first, by which a resent request is recognised. */
    private static final class RecentGrants extends LinkedHashMap<GrantKey, Boolean> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<GrantKey, Boolean> eldest) {
            return size() > MAX_RECENT_GRANTS;
        }
    }

    /** The bucket of one tenant, and the sums that were granted and refused from it. */
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

    /** Applies the tenants of the newest configuration. */
    public void setTenants(Collection<Tenant> newest, double nowMs) {
        Map<String, Tenant> byName = new HashMap<>();
        newest.forEach(tenant -> byName.put(tenant.name(), tenant));
        tenants = byName;
        if (authority.isPresent()) {
            updateAccounts(nowMs);
        }
    }

    /**
     * Sets whether this process may grant; to be called periodically and before {@link #decide}.
     *
     * @param current id of the continuous period in which no other process can grant; empty while another might
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
        double oldestMs = nowMs - REMOVED_RETENTION_WINDOWS * policy.windowMs();
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

    /** What was granted and refused to each tenant; empty while this process is not the coordinator. */
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
