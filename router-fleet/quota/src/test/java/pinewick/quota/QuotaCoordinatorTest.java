package pinewick.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;
import pinewick.model.SocketAddress;
import pinewick.model.Tenant;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaMessages.QuotaVerdict;

class QuotaCoordinatorTest {
    private static final SocketAddress ROUTER = new SocketAddress("10.0.0.1", 7_080);
    private static final SocketAddress PRIMARY = new SocketAddress("10.0.0.9", 7_081);
    private static final QuotaPolicy POLICY = new QuotaPolicy(1_000, 0, 0);

    private final QuotaCoordinator coordinator = new QuotaCoordinator(POLICY);
    private long lastId;

    private static Tenant tenant(String name, double rate, double burst) {
        return new Tenant(name, Set.of(), OptionalInt.empty(), new QuotaLimit(rate, burst, QuotaUnit.TOKENS, 200));
    }

    @BeforeEach
    void acquireAuthorityForEpochFive() {
        coordinator.setTenants(List.of(tenant("t", 1_000, 100)), 0);
        coordinator.setAuthority(Optional.of(5L), 0);
    }

    private QuotaReply request(String tenant, int cost, double nowMs) {
        return resend(++lastId, tenant, cost, nowMs);
    }

    private QuotaReply resend(long id, String tenant, int cost, double nowMs) {
        return coordinator.decide(ROUTER, new QuotaRequest(id, tenant, cost), Optional.of(PRIMARY), nowMs);
    }

    @Test
    void grantsUntilTheBucketIsEmpty() {
        assertEquals(QuotaVerdict.GRANTED, request("t", 100, 1_000).verdict());
        QuotaReply refused = request("t", 100, 1_000);
        assertEquals(QuotaVerdict.OVER_LIMIT, refused.verdict());
        assertEquals(100, refused.retryAfterMs());
    }

    @Test
    void aResentRequestIsChargedOnce() {
        assertEquals(QuotaVerdict.GRANTED, resend(77, "t", 100, 1_000).verdict());
        assertEquals(QuotaVerdict.GRANTED, resend(77, "t", 100, 1_000).verdict());
        assertEquals(100, coordinator.usage(1_000).get(0).granted());
    }

    @Test
    void withoutAuthorityItRedirectsToTheCoordinatorAndGrantsNothing() {
        coordinator.setAuthority(Optional.empty(), 2_000);
        QuotaReply reply = request("t", 1, 2_000);
        assertEquals(QuotaVerdict.NOT_COORDINATOR, reply.verdict());
        assertEquals(PRIMARY, reply.coordinator());
        assertTrue(coordinator.usage(2_000).isEmpty());
    }

    /** What another coordinator granted in between is not known to this one. */
    @Test
    void aNewEpochStartsWithEmptyBucketsAndNoRecentGrants() {
        assertEquals(QuotaVerdict.GRANTED, resend(78, "t", 10, 5_000).verdict());
        coordinator.setAuthority(Optional.empty(), 6_000);
        coordinator.setAuthority(Optional.of(7L), 9_000);
        assertEquals(QuotaVerdict.OVER_LIMIT, resend(78, "t", 10, 9_000).verdict());
    }

    @Test
    void aShortLossOfTheLeaseWithinAnEpochKeepsTheBuckets() {
        coordinator.setAuthority(Optional.empty(), 1_000);
        coordinator.setAuthority(Optional.of(5L), 1_100);
        assertEquals(QuotaVerdict.GRANTED, request("t", 100, 1_100).verdict());
    }

    @Test
    void aTenantThatIsRemovedAndAddedAgainKeepsItsBucket() {
        assertEquals(QuotaVerdict.GRANTED, request("t", 100, 1_000).verdict());
        coordinator.setTenants(List.of(), 1_000);
        assertEquals(QuotaVerdict.UNKNOWN_TENANT, request("t", 1, 1_001).verdict());
        coordinator.setTenants(List.of(tenant("t", 1_000, 100)), 1_002);
        assertEquals(98, request("t", 100, 1_002).retryAfterMs());
    }

    @Test
    void aTenantWithoutALimitIsGrantedEverything() {
        coordinator.setTenants(List.of(tenant("t", 0, 0)), 1_000);
        assertEquals(QuotaVerdict.GRANTED, request("t", 1_000_000, 1_000).verdict());
    }

    @Test
    void aRaisedLimitTakesEffectAtOnce() {
        request("t", 100, 1_000);
        coordinator.setTenants(List.of(tenant("t", 10_000, 1_000)), 1_000);
        assertEquals(QuotaVerdict.GRANTED, request("t", 100, 1_010.1).verdict());
    }
}
