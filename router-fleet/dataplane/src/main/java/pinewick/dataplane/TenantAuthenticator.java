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
 * Finds the tenant of a request by its key, and decides whether this router knows the keys well enough to say so. A key
 * is accepted only while the configuration here was the newest one a short while ago, by this router's own steady
 * clock: a key that was taken away is refused everywhere in time, also by a router that is partitioned or was frozen.
 * An unknown key is refused for good (401) only with an even younger configuration: it may have been added since.
 */
final class TenantAuthenticator {
    /** Subtracted from the time in which a revoked key has to be refused, milliseconds. */
    private static final double REVOCATION_MARGIN_MS = 200;

    private static final String SCHEME = "Bearer ";

    private final double maxAgeToAcceptMs;
    private final double maxAgeToRejectMs;
    /** Written on the data plane's executor. */
    private volatile double confirmedAtMs = Double.NEGATIVE_INFINITY;

    /** What is known of the sender of a request. */
    sealed interface Access {
        /** No tenant: keys are not in use, or the route is anonymous. */
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

    /** Whether a request with a known key would be accepted now, or none is required. Any thread. */
    boolean isServing(RoutingTable table, Confirmation confirmation, double nowMs) {
        double latestMs =
                isInForce(table, confirmation) ? Math.max(confirmedAtMs, confirmation.confirmedAtMs()) : confirmedAtMs;
        return !table.requiresKeys() || nowMs - latestMs <= maxAgeToAcceptMs;
    }

    /** The access of a request that was received before {@code nowMs}. */
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

    /** A confirmation counts once the version that it confirms, or a later one, is in force here. */
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
