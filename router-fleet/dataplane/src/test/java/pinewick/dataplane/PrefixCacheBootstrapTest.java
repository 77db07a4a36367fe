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
    void aRouterThatHasRunLongerIsAsked() {
        List<NodeDescriptor> others = List.of(router(1, 99_900), router(2, 50_000), router(3, 100_100));

        assertEquals(Optional.of(address(2)), bootstrap.nextRequest(others, 0));
    }

    /** Half of the routers lose power and come back together. */
    @Test
    void manyThatStartTogetherDoNotAllAskTheSameOne() {
        List<NodeDescriptor> others = new ArrayList<>();
        for (int each = 0; each < 30; each++) {
            others.add(router(each, each < 15 ? 1_000 + each : OWN_START + each));
        }
        int[] asked = new int[30];
        for (int each = 0; each < 45; each++) {
            PrefixCacheBootstrap started = new PrefixCacheBootstrap(OWN_START, new SplittableRandom(each));
            SocketAddress chosen = started.nextRequest(others, 0).orElseThrow();
            asked[Integer.parseInt(chosen.host().substring("10.0.0.".length()))]++;
        }

        assertEquals(45, Arrays.stream(asked).limit(15).sum(), "only those that have run longer");
        assertTrue(Arrays.stream(asked).max().getAsInt() <= 10, "most asked: " + Arrays.toString(asked));
    }

    @Test
    void nobodyIsAskedWhenAllStartTogether() {
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(router(1, 99_000), router(2, 101_000)), 0));
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(), 500));
    }

    @Test
    void anotherRouterIsAskedIfNoneAnswersOrTheAnswerIsEmpty() {
        List<NodeDescriptor> others = List.of(router(1, 1_000), router(2, 2_000), router(3, 3_000), router(4, 4_000));

        Set<SocketAddress> asked = new HashSet<>();
        asked.add(bootstrap.nextRequest(others, 0).orElseThrow());
        assertEquals(Optional.empty(), bootstrap.nextRequest(others, PrefixCacheBootstrap.RETRY_INTERVAL_MS - 1));
        bootstrap.onSnapshot(EMPTY);
        asked.add(bootstrap.nextRequest(others, 1_000).orElseThrow());
        asked.add(bootstrap.nextRequest(others, 2_000).orElseThrow());
        assertEquals(3, asked.size(), "each once");
        assertEquals(Optional.empty(), bootstrap.nextRequest(others, 3_000), "no more than three");
    }

    @Test
    void nobodyIsAskedAfterAnAnswer() {
        List<NodeDescriptor> others = List.of(router(1, 1_000), router(2, 2_000));

        bootstrap.nextRequest(others, 0);
        bootstrap.onSnapshot(FULL);

        assertEquals(Optional.empty(), bootstrap.nextRequest(others, 10_000));
    }
}
