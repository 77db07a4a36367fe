package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import pinewick.dataplane.TenantAuthenticator.Access;
import pinewick.dissemination.Confirmation;
import pinewick.model.ApiKeyDigest;
import pinewick.model.QuotaLimit;
import pinewick.model.RequestLimits;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.RoutingTable;
import pinewick.model.Tenant;

/** Keys and a configuration that may be out of date: revoke_ms is 5,000, config_apply_ms 2,000. */
class TenantAuthenticatorTest {
    private static final double CONFIRMED_MS = 100_000;
    private static final Tenant TENANT =
            new Tenant("t", Set.of(ApiKeyDigest.of("key")), OptionalInt.empty(), QuotaLimit.UNLIMITED);

    private final TenantAuthenticator authenticator = new TenantAuthenticator(TestBounds.withTenants());

    private static RoutingTable table(long version, Tenant... tenants) {
        return new RoutingTable(version, List.of(), List.of(), RequestLimits.DEFAULT, true, List.of(tenants));
    }

    private static Route route(boolean anonymous) {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.IDEMPOTENT,
                1_000,
                100,
                0,
                List.of(new Route.WeightedService("s", 1)),
                1,
                false,
                false,
                0,
                anonymous);
    }

    private static HttpFields key(String key) {
        return HttpFields.build().add("Authorization", "Bearer " + key);
    }

    private Access authenticate(RoutingTable table, String key, Confirmation confirmation, double nowMs) {
        return authenticator.authenticate(table, route(false), key(key), confirmation, nowMs);
    }

    private Access authenticateAtAge(String key, double ageMs) {
        return authenticate(table(7, TENANT), key, new Confirmation(7, CONFIRMED_MS), CONFIRMED_MS + ageMs);
    }

    @Test
    void acceptsAKnownKeyOnlyWithARecentConfirmation() {
        assertInstanceOf(Access.Authenticated.class, authenticateAtAge("key", 4_800));
        assertInstanceOf(Access.Unconfirmed.class, authenticateAtAge("key", 4_801));
    }

    @Test
    void rejectsAnUnknownKeyOnlyWithAMoreRecentConfirmation() {
        assertInstanceOf(Access.Unauthorized.class, authenticateAtAge("other", 2_000));
        assertInstanceOf(Access.Unconfirmed.class, authenticateAtAge("other", 2_001));
    }

    @Test
    void neitherAcceptsNorRejectsKeysBeforeTheFirstConfirmation() {
        Confirmation neverConfirmed = new Confirmation(7, Double.NEGATIVE_INFINITY);
        assertInstanceOf(Access.Unconfirmed.class, authenticate(table(7, TENANT), "key", neverConfirmed, CONFIRMED_MS));
        assertInstanceOf(
                Access.Unconfirmed.class, authenticate(table(7, TENANT), "other", neverConfirmed, CONFIRMED_MS));
    }

    /** The confirmation is of version 8, while this router still uses the table of version 7. */
    @Test
    void ignoresAConfirmationOfAVersionNotYetApplied() {
        Confirmation confirmationOfNext = new Confirmation(8, CONFIRMED_MS);
        assertInstanceOf(
                Access.Unconfirmed.class, authenticate(table(7, TENANT), "key", confirmationOfNext, CONFIRMED_MS));
        assertInstanceOf(
                Access.Authenticated.class, authenticate(table(8, TENANT), "key", confirmationOfNext, CONFIRMED_MS));
    }

    @Test
    void usesTheEarlierConfirmationWhileTheNextVersionIsBeingApplied() {
        authenticateAtAge("key", 0);
        Confirmation confirmationOfNext = new Confirmation(8, CONFIRMED_MS + 1_000);
        Access access = authenticate(table(7, TENANT), "key", confirmationOfNext, CONFIRMED_MS + 1_000);
        assertInstanceOf(Access.Authenticated.class, access);
    }

    @Test
    void anAnonymousRouteNeedsNoConfirmationAndHasNoTenant() {
        Confirmation staleConfirmation = new Confirmation(7, 0);
        Access access =
                authenticator.authenticate(table(7, TENANT), route(true), key("key"), staleConfirmation, CONFIRMED_MS);
        assertEquals(new Access.NotRequired(), access);
    }

    @Test
    void isServingOnlyWhileItAcceptsKeys() {
        Confirmation confirmation = new Confirmation(7, CONFIRMED_MS);
        assertTrue(authenticator.isServing(table(7, TENANT), confirmation, CONFIRMED_MS + 4_800));
        assertFalse(authenticator.isServing(table(7, TENANT), confirmation, CONFIRMED_MS + 4_801));
        assertTrue(authenticator.isServing(RoutingTable.EMPTY, confirmation, CONFIRMED_MS + 60_000));
    }
}
