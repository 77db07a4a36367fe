package pinewick.dataplane;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import pinewick.dissemination.Confirmation;
import pinewick.model.NodeSettings;
import pinewick.model.Route;
import pinewick.model.RoutingTable;
import pinewick.model.Tenant;

/**
 * Finds the tenant of a request by its key, and decides whether this router's configuration is recent enough to rely
 * on. A key is accepted only if the configuration was confirmed to be the newest within a bounded time, measured by
 * this router's own monotonic clock. So every router rejects a revoked key in time, including one that is partitioned
 * or was suspended. An unknown key is rejected with 401 only if the confirmation is more recent still, since the key
 * may have been added after it.
 */
final class TenantAuthenticator {
    /** Subtracted from the time within which a revoked key must be rejected, milliseconds. */
    private static final double REVOCATION_MARGIN_MS = 200;

    private static final String SCHEME = "Bearer ";

    private final double maxAgeToAcceptMs;
    private final double maxAgeToRejectMs;
    /** Written on the data plane's executor. */
    private volatile double confirmedAtMs = Double.NEGATIVE_INFINITY;

    /** The result of authenticating a request. */
    sealed interface Access {
        /** The request needs no tenant: keys are not in use, or the route is anonymous. */
        record NotRequired() implements Access {}

        /** The key belongs to this tenant. */
        record Authenticated(Tenant tenant) implements Access {}

        /** The key is missing, or no tenant has it. */
        record Unauthorized() implements Access {}

        /** This router's configuration may be outdated. */
        record Unconfirmed() implements Access {}
    }

    /** @param bounds the platform's bounds on keys and configurations */
    TenantAuthenticator(NodeSettings.Bounds bounds) {
        maxAgeToAcceptMs = bounds.revocationClosed() ? bounds.revokeMs() - REVOCATION_MARGIN_MS : Double.MAX_VALUE;
        maxAgeToRejectMs = Math.min(maxAgeToAcceptMs, bounds.configApplyMs());
    }

    /** Whether a request with a known key would be accepted now, or no key is required. May be called on any thread. */
    boolean isServing(RoutingTable table, Confirmation confirmation, double nowMs) {
        double latestMs =
                isInForce(table, confirmation) ? Math.max(confirmedAtMs, confirmation.confirmedAtMs()) : confirmedAtMs;
        return !table.requiresKeys() || nowMs - latestMs <= maxAgeToAcceptMs;
    }

    /** Authenticates a request that was received before {@code nowMs}. */
    Access authenticate(RoutingTable table, Route route, HttpFields fields, Confirmation confirmation, double nowMs) {
        if (!table.requiresKeys()) {
            return new Access.NotRequired();
        }
        update(table, confirmation);
        boolean mayAccept = nowMs - confirmedAtMs <= maxAgeToAcceptMs;
        Optional<Tenant> tenant = keyOf(fields).flatMap(table::tenantOfKey);
        if (tenant.isPresent() && mayAccept) {
            return new Access.Authenticated(tenant.get());
        }
        if (route.anonymous()) {
            return new Access.NotRequired();
        }
        boolean mayReject = nowMs - confirmedAtMs <= maxAgeToRejectMs;
        return tenant.isEmpty() && mayReject ? new Access.Unauthorized() : new Access.Unconfirmed();
    }

    private void update(RoutingTable table, Confirmation confirmation) {
        if (isInForce(table, confirmation)) {
            confirmedAtMs = Math.max(confirmedAtMs, confirmation.confirmedAtMs());
        }
    }

    /** A confirmation counts once this router has applied the version that it confirms, or a later one. */
    private static boolean isInForce(RoutingTable table, Confirmation confirmation) {
        return confirmation.version() <= table.version();
    }

    private static Optional<String> keyOf(HttpFields fields) {
        List<String> values = fields.getValuesList(HeaderNames.AUTHORIZATION);
        if (values.size() != 1) {
            return Optional.empty();
        }
        String value = values.get(0).trim();
        boolean isBearer = value.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        return isBearer ? Optional.of(value.substring(SCHEME.length()).trim()) : Optional.empty();
    }
}
