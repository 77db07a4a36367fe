package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.Message;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;
import pinewick.model.SocketAddress;
import pinewick.model.Tenant;
import pinewick.quota.FallbackAllowance;
import pinewick.quota.QuotaClient;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaMessages.QuotaVerdict;
import pinewick.quota.QuotaPeers;
import pinewick.quota.QuotaPolicy;

/** Admission of requests by the quota of their tenant. */
class QuotaAdmissionTest {
    private static final SocketAddress PRIMARY = new SocketAddress("10.0.0.9", 7_081);
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000, QuotaUnit.TOKENS, 200);
    private static final double MAX_WAIT_MS = 90;

    private final VirtualTimers timers = new VirtualTimers();
    private final List<QuotaRequest> sent = new ArrayList<>();
    private final FallbackAllowance fallbackAllowance = new FallbackAllowance(new QuotaPolicy(100, 0, 1_000), 0);
    private final TenantQuotas quotas = new TenantQuotas(
            new QuotaClient(new PrimaryOnlyPeers(), this::send, fallbackAllowance, new SplittableRandom(1)), timers);
    private final List<String> outcomes = new ArrayList<>();

    private static final class PrimaryOnlyPeers implements QuotaPeers {
        @Override
        public Optional<SocketAddress> primary() {
            return Optional.of(PRIMARY);
        }

        @Override
        public List<SocketAddress> controllers() {
            return List.of();
        }

        @Override
        public List<SocketAddress> routers() {
            return List.of();
        }
    }

    private void send(SocketAddress receiver, Message message) {
        if (message instanceof QuotaRequest request) {
            sent.add(request);
        }
    }

    private QuotaAdmission begin(int cost) {
        QuotaAdmission admission = new QuotaAdmission(
                Optional.of(new QuotaCharge("t", LIMIT, cost)), quotas, timers, new SplittableRandom(2), MAX_WAIT_MS);
        admission.begin(() -> outcomes.add("granted"), rejection -> outcomes.add("rejected " + rejection.status()));
        return admission;
    }

    private void reply(QuotaVerdict verdict) {
        quotas.onMessage(PRIMARY, new QuotaReply(sent.get(0).requestId(), verdict, 10, PRIMARY));
    }

    @Test
    void admitsOnlyAfterTheGrant() {
        begin(500);
        assertTrue(outcomes.isEmpty());
        reply(QuotaVerdict.GRANTED);
        timers.advance(10_000);
        assertEquals(List.of("granted"), outcomes);
    }

    @Test
    void retriesWhenTokensBecomeAvailableWithinTheMaximumWait() {
        begin(500);
        reply(QuotaVerdict.OVER_LIMIT);
        assertTrue(outcomes.isEmpty());
        timers.advance(10);
        assertEquals(2, sent.size());
        assertTrue(sent.get(0).requestId() != sent.get(1).requestId(), "the retry has a new request id");
        sent.remove(0);
        reply(QuotaVerdict.GRANTED);
        assertEquals(List.of("granted"), outcomes);
    }

    @Test
    void rejectsWith429OverTheLimitAndWith503ForAnUnknownTenant() {
        begin(500);
        for (int attempt = 0; attempt < 3; attempt++) {
            reply(QuotaVerdict.OVER_LIMIT);
            sent.clear();
            timers.advance(10);
        }
        sent.clear();
        begin(500);
        reply(QuotaVerdict.UNKNOWN_TENANT);
        assertEquals(List.of("rejected 429", "rejected 503"), outcomes);
    }

    @Test
    void rejectsAfterTheMaximumWaitWithoutACoordinatorAndIgnoresALateGrant() {
        begin(500);
        timers.advance(MAX_WAIT_MS);
        reply(QuotaVerdict.GRANTED);
        assertEquals(List.of("rejected 503"), outcomes);
    }

    @Test
    void admitsAShortRequestByTheFallbackAllowanceWithoutACoordinator() {
        fallbackAllowance.setRouterCount(1, 0);
        begin(200);
        timers.advance(MAX_WAIT_MS);
        assertEquals(List.of("granted"), outcomes);
    }

    @Test
    void doesNotAdmitACancelledRequest() {
        begin(500).cancel();
        reply(QuotaVerdict.GRANTED);
        timers.advance(10_000);
        assertTrue(outcomes.isEmpty());
        assertEquals(0, timers.pending());
    }

    @ParameterizedTest
    @CsvSource({
        "'1460,80',1540",
        "' 1460 , 80 ',1540",
        "'0,0',0",
        "'1460',200",
        "'1460,80,1',200",
        "'x,80',200",
        "'-5,2',2",
        "'20000,-20000',20000",
        "'9223372036854775807,9223372036854775807',2147483647",
        "'9000000000,1',2147483647",
        "'99999999999999999999,1',200"
    })
    void theCostIsTheNumberOfTokens(String counts, int cost) {
        Tenant tenant = new Tenant("t", Set.of(), OptionalInt.empty(), LIMIT);
        HttpFields fields = HttpFields.build().add("X-Pinewick-Token-Count", counts);
        assertEquals(cost, QuotaCharge.of(tenant, fields).orElseThrow().cost());
        assertEquals(200, QuotaCharge.of(tenant, HttpFields.EMPTY).orElseThrow().cost());
    }
}
