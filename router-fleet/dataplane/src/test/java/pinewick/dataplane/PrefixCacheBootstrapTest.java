package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
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

    private final PrefixCacheBootstrap bootstrap = new PrefixCacheBootstrap(OWN_START);

    private static NodeDescriptor router(int index, long startedAt) {
        return new NodeDescriptor(address(index), startedAt, NodeRole.ROUTER, "a");
    }

    private static SocketAddress address(int index) {
        return new SocketAddress("10.0.0." + index, 7720);
    }

    @Test
    void theRouterThatHasRunLongestIsAsked() {
        List<NodeDescriptor> others = List.of(router(1, 90_000), router(2, 50_000), router(3, 99_900));

        assertEquals(Optional.of(address(2)), bootstrap.nextRequest(others, 0));
    }

    @Test
    void nobodyIsAskedWhenAllStartTogether() {
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(router(1, 99_000), router(2, 101_000)), 0));
        assertEquals(Optional.empty(), bootstrap.nextRequest(List.of(), 500));
    }

    @Test
    void anotherRouterIsAskedIfNoneAnswersOrTheAnswerIsEmpty() {
        List<NodeDescriptor> others = List.of(router(1, 1_000), router(2, 2_000), router(3, 3_000), router(4, 4_000));

        assertEquals(Optional.of(address(1)), bootstrap.nextRequest(others, 0));
        assertEquals(Optional.empty(), bootstrap.nextRequest(others, PrefixCacheBootstrap.RETRY_INTERVAL_MS - 1));
        bootstrap.onSnapshot(EMPTY);
        assertEquals(Optional.of(address(2)), bootstrap.nextRequest(others, 1_000));
        assertEquals(Optional.of(address(3)), bootstrap.nextRequest(others, 2_000));
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
