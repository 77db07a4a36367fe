package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.SocketAddress;
import pinewick.selection.PrefixHint;

class PrefixCacheBootstrapTest {
    private static final long OWN_START = 100_000;
    private static final PrefixCacheSnapshot EMPTY = new PrefixCacheSnapshot(List.of());
    private static final PrefixCacheSnapshot FULL =
            new PrefixCacheSnapshot(List.of(new PrefixHint("i-1", 7, 100, 0, 0)));

    private final PrefixCacheBootstrap bootstrap = new PrefixCacheBootstrap(OWN_START, new SplittableRandom(1));

    private static NodeDescriptor router(int index, long startedAt) {
        return new NodeDescriptor(address(index), startedAt, NodeRole.ROUTER, "a");
    }

    private static SocketAddress address(int index) {
        return new SocketAddress("10.0.0." + index, 7720);
    }

    @Test
    void requestsFromARouterThatStartedEarlier() {
        List<NodeDescriptor> others = List.of(router(1, 99_900), router(2, 50_000), router(3, 100_100));

        assertEquals(Optional.of(address(2)), bootstrap.nextRequest(others, 0));
    }

    /** Half of the routers restart at the same time after a power failure. */
    @Test
    void routersThatStartTogetherSpreadTheirRequests() {
        List<NodeDescriptor> others = new ArrayList<>();
        for (int index = 0; index < 30; index++) {
            others.add(router(index, index < 15 ? 1_000 + index : OWN_START + index));
        }
        int[] requestCounts = new int[30];
        for (int index = 0; index < 45; index++) {
            PrefixCacheBootstrap startedTogether = new PrefixCacheBootstrap(OWN_START, new SplittableRandom(index));
            SocketAddress chosen = startedTogether.nextRequest(others, 0).orElseThrow();
            requestCounts[Integer.parseInt(chosen.host().substring("10.0.0.".length()))]++;
        }

        assertEquals(45, Arrays.stream(requestCounts).limit(15).sum(), "only routers that started earlier");
        assertTrue(
                Arrays.stream(requestCounts).max().getAsInt() <= 10,
                "requests by router: " + Arrays.toString(requestCounts));
    }

    @Test
    void requestsNothingIfNoRouterStartedEarlier() {
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(router(1, 99_000), router(2, 101_000)), 0));
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(), 500));
    }

    @Test
    void requestsFromAnotherRouterWithoutAReplyOrAfterAnEmptyOne() {
        List<NodeDescriptor> others = List.of(router(1, 1_000), router(2, 2_000), router(3, 3_000), router(4, 4_000));

        Set<SocketAddress> requested = new HashSet<>();
        requested.add(bootstrap.nextRequest(others, 0).orElseThrow());
        assertEquals(Optional.empty(), bootstrap.nextRequest(others, PrefixCacheBootstrap.RETRY_INTERVAL_MS - 1));
        bootstrap.onSnapshot(EMPTY);
        requested.add(bootstrap.nextRequest(others, 1_000).orElseThrow());
        requested.add(bootstrap.nextRequest(others, 2_000).orElseThrow());
        assertEquals(3, requested.size(), "each router once");
        assertEquals(Optional.empty(), bootstrap.nextRequest(others, 3_000), "at most three requests");
    }

    @Test
    void requestsNothingAfterASnapshot() {
        List<NodeDescriptor> others = List.of(router(1, 1_000), router(2, 2_000));

        bootstrap.nextRequest(others, 0);
        bootstrap.onSnapshot(FULL);

        assertEquals(Optional.empty(), bootstrap.nextRequest(others, 10_000));
    }
}
