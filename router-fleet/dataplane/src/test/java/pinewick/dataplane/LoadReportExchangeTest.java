package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.membership.RandomChoice;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.selection.CallKind;
import pinewick.selection.CallOutcome;
import pinewick.selection.LoadReport;
import pinewick.selection.PrefixHint;
import pinewick.selection.PromptPart;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RequestShape;
import pinewick.selection.SharedServiceTime;

/** How routers share load reports and prefix hints, also if each router knows only some of the others. */
class LoadReportExchangeTest {
    private static final String SERVICE = "s";
    private static final EngineSpec ENGINE = new EngineSpec(12, 400_000, 18_432, 180_000, 11, 5, 2);
    private static final List<PromptPart> PROMPT = List.of(new PromptPart(7, 13_000), new PromptPart(8, 3_000));

    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RouteKind.STREAMING,
            4_000,
            400,
            1,
            List.of(new Route.WeightedService(SERVICE, 1)),
            2,
            true,
            true,
            150,
            false);

    private ReplicaSelector selector;
    private LoadReportExchange exchange;

    private static ReplicaSelector newSelector(int replicas) {
        ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(1));
        selector.setEngine(SERVICE, ENGINE);
        for (int index = 0; index < replicas; index++) {
            selector.addReplica(replica(index));
        }
        return selector;
    }

    private static ReplicaRecord replica(int index) {
        return new ReplicaRecord(
                "i-" + index,
                SERVICE,
                new SocketAddress("10.1.0.1", 1_000 + index),
                "z",
                "v",
                4,
                ReplicaState.READY,
                0,
                Stage.PREFILL,
                List.of(),
                1,
                false);
    }

    private static LoadReport report(int waiting, double atMs) {
        return new LoadReport(Stage.PREFILL, false, 1, waiting, 2, 10, 100, 0, atMs);
    }

    private static LoadReportMessage hint(String instanceId, int ageMs) {
        return new LoadReportMessage(List.of(), List.of(new PrefixHint(instanceId, 99, 13_000, ageMs, 3_000)));
    }

    @BeforeEach
    void setUp() {
        selector = newSelector(40);
        exchange = new LoadReportExchange(selector);
    }

    @Test
    void sendsNoMessageWithoutNewInformation() {
        assertEquals(Optional.empty(), exchange.takeMessage(0));
    }

    @Test
    void anOwnReportIsSentOnce() {
        exchange.onReport("i-1", report(3, 100));

        LoadReportMessage message = exchange.takeMessage(150).orElseThrow();

        assertEquals(1, message.reports().size());
        assertEquals(50, message.reports().get(0).ageMs());
        assertEquals(Optional.empty(), exchange.takeMessage(200));
    }

    @Test
    void splitsMessagesThatExceedADatagram() {
        for (int index = 0; index < 30; index++) {
            exchange.onReport("i-" + index, report(index, 100));
            selector.cacheEstimates()
                    .recordUse("i-" + index, List.of(new PromptPart(index, 1_000), new PromptPart(99, 10)), 100);
        }

        int reports = 0;
        int hints = 0;
        for (int message = 0; message < 3; message++) {
            LoadReportMessage shared = exchange.takeMessage(200).orElseThrow();
            assertTrue(shared.reports().size() <= 12 && shared.hints().size() <= 20, "too large for a datagram");
            reports += shared.reports().size();
            hints += shared.hints().size();
        }
        assertEquals(30, reports);
        assertEquals(30, hints);
    }

    @Test
    void oldReportsAreNotSent() {
        exchange.onReport("i-1", report(3, 100));

        assertEquals(Optional.empty(), exchange.takeMessage(2_000));
    }

    @Test
    void aHintOfAnotherRouterIsForwardedOnce() {
        exchange.onMessage(hint("i-1", 40), true, 1_000);
        exchange.onMessage(hint("i-1", 60), true, 1_025);

        LoadReportMessage forwarded = exchange.takeMessage(1_100).orElseThrow();

        assertEquals(List.of(new PrefixHint("i-1", 99, 13_000, 140, 3_000)), forwarded.hints());
        exchange.onMessage(hint("i-1", 160), true, 1_120);
        assertEquals(Optional.empty(), exchange.takeMessage(1_200), "already known");
    }

    @Test
    void aLaterUseOfAKnownPrefixIsForwardedAgain() {
        exchange.onMessage(hint("i-1", 0), true, 1_000);
        exchange.takeMessage(1_050);

        exchange.onMessage(hint("i-1", 0), true, 2_000);

        assertEquals(1, exchange.takeMessage(2_050).orElseThrow().hints().size());
    }

    @Test
    void forwardsNothingIfAllRoutersKnowEachOther() {
        exchange.onMessage(hint("i-1", 40), false, 1_000);
        exchange.onMessage(
                new LoadReportMessage(
                        List.of(LoadReportMessage.SharedReport.of("i-2", report(1, 950), 1_000)), List.of()),
                false,
                1_000);

        assertEquals(Optional.empty(), exchange.takeMessage(1_100));
    }

    @Test
    void aReportIsForwardedOnlyIfItIsNewerThanTheKnownOne() {
        LoadReportMessage first = new LoadReportMessage(
                List.of(LoadReportMessage.SharedReport.of("i-2", report(1, 900), 1_000)), List.of());
        exchange.onMessage(first, true, 1_000);
        assertEquals(1, exchange.takeMessage(1_010).orElseThrow().reports().size());

        exchange.onMessage(first, true, 1_003);

        assertEquals(Optional.empty(), exchange.takeMessage(1_020));
    }

    @Test
    void aSnapshotTransfersThePrefixCacheEstimates() {
        selector.cacheEstimates().recordUse("i-1", PROMPT, 500);
        PrefixCacheSnapshot snapshot = exchange.snapshot(700);

        ReplicaSelector newSelectorOfOther = newSelector(40);
        LoadReportExchange other = new LoadReportExchange(newSelectorOfOther);
        other.onSnapshot(snapshot, 9_000);

        assertEquals(13_000, newSelectorOfOther.cacheEstimates().cachedTokens("i-1", PROMPT));
        assertEquals(Optional.empty(), other.takeMessage(9_100), "a snapshot is not forwarded");
    }

    @Test
    void sendsANewServiceTimeOnce() {
        measurePrefillServiceTime(selector);

        SharedServiceTime serviceTime =
                exchange.takeServiceTimes().orElseThrow().serviceTimes().get(0);

        assertEquals(CallKind.PREFILL, serviceTime.kind());
        assertEquals(0.02, serviceTime.perTokenMs(), 1e-6);
        assertEquals(Optional.empty(), exchange.takeServiceTimes());
    }

    @Test
    void forwardsAServiceTimeOfAnotherRouterOnceAndDoesNotSendItsOwnLater() {
        ServiceTimesMessage message =
                new ServiceTimesMessage(List.of(new SharedServiceTime(SERVICE, CallKind.PREFILL, 5, 0.02, 4)));

        exchange.onServiceTimes(message, true);
        assertEquals(Optional.of(message), exchange.takeServiceTimes());

        exchange.onServiceTimes(message, true);
        measurePrefillServiceTime(selector);
        assertEquals(Optional.empty(), exchange.takeServiceTimes());
    }

    @Test
    void doesNotForwardAServiceTimeIfAllRoutersKnowEachOther() {
        exchange.onServiceTimes(
                new ServiceTimesMessage(List.of(new SharedServiceTime(SERVICE, CallKind.PREFILL, 5, 0.02, 4))), false);

        assertEquals(Optional.empty(), exchange.takeServiceTimes());
        assertEquals(1, exchange.allServiceTimes().serviceTimes().size(), "sent to a router that starts later");
    }

    /** Two prompts of 10,000 and 20,000 tokens, at 0.02 ms per token and a fixed 5 ms. */
    private static void measurePrefillServiceTime(ReplicaSelector selector) {
        ReplicaRecord replica = replica(0);
        for (int index = 1; index <= 2; index++) {
            int tokens = 10_000 * index;
            RequestShape request = new RequestShape(
                    ROUTE, SERVICE, true, "m", tokens, 10, List.of(new PromptPart(index, tokens)), 0, 4_000);
            selector.startCall(replica, CallKind.PREFILL, request, 0).onEnd(CallOutcome.COMPLETED, 5 + 0.02 * tokens);
        }
    }

    /** 75 routers in four zones, each of which knows 30 others, as in large deployments of the users. */
    @Test
    void aHintReachesNearlyAllRoutersAlthoughEachKnowsOnlySome() {
        int routers = 75;
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<LoadReportExchange> exchanges = new ArrayList<>();
        List<ReplicaSelector> selectors = new ArrayList<>();
        for (int index = 0; index < routers; index++) {
            nodes.add(new NodeDescriptor(
                    new SocketAddress("10.0.0." + index, 7_720), 1, NodeRole.ROUTER, "zone-" + index % 4));
            selectors.add(newSelector(8));
            exchanges.add(new LoadReportExchange(selectors.get(index)));
        }
        SplittableRandom random = new SplittableRandom(5);
        List<List<NodeDescriptor>> views = new ArrayList<>();
        for (int index = 0; index < routers; index++) {
            List<NodeDescriptor> others = new ArrayList<>(nodes);
            others.remove(index);
            views.add(RandomChoice.draw(others, 30, random));
        }
        int hints = 40;
        for (int index = 0; index < hints; index++) {
            selectors
                    .get(index)
                    .cacheEstimates()
                    .recordUse("i-" + index % 8, List.of(new PromptPart(index, 13_000), new PromptPart(1, 10)), 0);
        }

        int messages = 0;
        for (int step = 1; step <= 8; step++) {
            double nowMs = step * LoadReportIntervals.FORWARDING_SHARE_INTERVAL_MS;
            for (int index = 0; index < routers; index++) {
                Optional<LoadReportMessage> message = exchanges.get(index).takeMessage(nowMs);
                if (message.isEmpty()) {
                    continue;
                }
                for (SocketAddress target : LoadReportTargets.choose(
                        views.get(index), nodes.get(index).zone(), random)) {
                    messages++;
                    int targetIndex = Integer.parseInt(target.host().substring("10.0.0.".length()));
                    exchanges.get(targetIndex).onMessage(message.get(), true, nowMs + 1);
                }
            }
        }

        int known = 0;
        for (ReplicaSelector routerSelector : selectors) {
            for (int hint = 0; hint < hints; hint++) {
                List<PromptPart> parts = List.of(new PromptPart(hint, 13_000), new PromptPart(1, 10));
                known += routerSelector.cacheEstimates().cachedTokens("i-" + hint % 8, parts) > 0 ? 1 : 0;
            }
        }
        double fraction = known / (double) (routers * hints);
        assertTrue(fraction > 0.94, "known fraction: " + fraction);
        assertTrue(messages <= 8 * routers * 4, "messages: " + messages);
    }
}
