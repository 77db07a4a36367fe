package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Service times received from other routers, used by a router that has no samples of its own yet. */
class SharedServiceTimeTest {
    private static final String SERVICE = "lm";
    private static final double OWN_PER_TOKEN_MS = 0.005;

    private final ReplicaRecord prefill = replica("p", Stage.PREFILL);
    private final ReplicaRecord decode = replica("d", Stage.DECODE);
    private ReplicaSelector selector;

    private static ReplicaRecord replica(String id, Stage stage) {
        SocketAddress address = new SocketAddress("10.0.0.1", stage == Stage.PREFILL ? 80 : 81);
        return new ReplicaRecord(id, SERVICE, address, "a", "v", 12, ReplicaState.READY, 0, stage, List.of(), 1, false);
    }

    private static RequestShape request(int tokens) {
        return new RequestShape(
                VirtualFleet.route("r", 600, 4_000, 0),
                SERVICE,
                true,
                "m",
                tokens,
                10,
                List.of(new PromptPart(tokens, tokens)),
                0,
                4_000);
    }

    @BeforeEach
    void setUp() {
        selector = new ReplicaSelector(new SplittableRandom(1));
        selector.setLocality("a", Map.of("a", "r"));
        selector.setEngine(SERVICE, new EngineSpec(12, 400_000, 18_432, 180_000, 11, 5, 2));
        selector.addReplica(prefill);
        selector.addReplica(decode);
    }

    private static SharedServiceTime sharedServiceTime(CallKind kind, double perTokenMs, int samples) {
        return new SharedServiceTime(SERVICE, kind, 10, perTokenMs, samples);
    }

    private double expectedPrefillMs(int tokens) {
        ReplicaSelector.Call call = selector.startCall(prefill, CallKind.PREFILL, request(tokens), 0);
        call.onEnd(CallOutcome.CANCELLED, 0);
        return call.expectedServiceMs();
    }

    @Test
    void aReceivedServiceTimeReplacesTheInitialEstimate() {
        assertTrue(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.02, 3)));

        assertEquals(10 + 0.02 * 17_000, expectedPrefillMs(17_000), 1e-9);
    }

    @Test
    void aLongPromptIsNotPrefilledByADecodeReplicaReportedAsSlow() {
        selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.02, 3));
        selector.onSharedServiceTime(sharedServiceTime(CallKind.AGGREGATED_DECODE, 0.04, 3));
        selector.onSharedServiceTime(sharedServiceTime(CallKind.DISAGGREGATED_DECODE, 0.001, 3));

        ReplicaPair pair = selector.choose(request(17_000), List.of(prefill, decode), Set.of(), 0)
                .orElseThrow();

        assertEquals("p", pair.prefill().orElseThrow().instanceId());
    }

    @Test
    void ownSamplesTakePrecedenceOverReceivedServiceTimes() {
        selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.02, 3));
        for (int each = 1; each <= 2; each++) {
            int tokens = 10_000 * each;
            selector.startCall(prefill, CallKind.PREFILL, request(tokens), 0)
                    .onEnd(CallOutcome.COMPLETED, OWN_PER_TOKEN_MS * tokens);
        }

        assertEquals(OWN_PER_TOKEN_MS * 17_000, expectedPrefillMs(17_000), 1);
        assertEquals(
                OWN_PER_TOKEN_MS,
                selector.serviceTimes().stream()
                        .filter(shared -> shared.kind() == CallKind.PREFILL)
                        .findFirst()
                        .orElseThrow()
                        .perTokenMs(),
                1e-9);
    }

    @Test
    void theServiceTimeWithMoreSamplesIsKeptAndOnlyTheFirstIsNew() {
        assertTrue(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.02, 5)));
        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.03, 4)));
        assertEquals(10 + 0.02 * 1_000, expectedPrefillMs(1_000), 1e-9);

        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.03, 6)));
        assertEquals(10 + 0.03 * 1_000, expectedPrefillMs(1_000), 1e-9);
    }

    @Test
    void anInvalidServiceTimeIsIgnored() {
        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, Double.NaN, 3)));
        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, -1, 3)));
        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PREFILL, 0.02, 0)));
        assertFalse(selector.onSharedServiceTime(sharedServiceTime(CallKind.PLAIN, 0.02, 3)));
        assertFalse(selector.onSharedServiceTime(new SharedServiceTime("other", CallKind.PREFILL, 1, 0.02, 3)));
        assertEquals(List.of(), selector.serviceTimes());
    }
}
