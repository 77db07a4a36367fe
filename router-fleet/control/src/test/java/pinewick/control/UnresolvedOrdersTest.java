package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** When the outcome of an order without a response becomes known. */
class UnresolvedOrdersTest {
    private static final double FAILED_MS = 10_000;

    private final UnresolvedOrders orders = new UnresolvedOrders();

    private static ReplicaLoad report(String instanceId, long acceptedOrders) {
        SocketAddress address = new SocketAddress("10.128.0.9", 8080);
        return new ReplicaLoad(instanceId, "s", address, 12, Stage.DECODE, false, acceptedOrders, 0, 0);
    }

    @Test
    void resolvesAnOrderByAReportThatCountsOneMore() {
        orders.add(report("i-1", 4), FAILED_MS);
        orders.onReport(report("i-1", 5), FAILED_MS + 1);
        assertEquals(Set.of(), orders.services());
    }

    @Test
    void ignoresAReportThatMayBeOlderThanTheOrder() {
        orders.add(report("i-1", 4), FAILED_MS);
        orders.onReport(report("i-1", 4), FAILED_MS + UnresolvedOrders.REPORT_DELAY_MS - 1);
        assertEquals(Set.of("s"), orders.services());
        orders.onReport(report("i-1", 4), FAILED_MS + UnresolvedOrders.REPORT_DELAY_MS);
        assertEquals(Set.of(), orders.services());
    }

    @Test
    void ignoresAReportOfAnotherReplica() {
        orders.add(report("i-1", 4), FAILED_MS);
        orders.onReport(report("i-2", 9), FAILED_MS + 5_000);
        assertEquals(Set.of("s"), orders.services());
    }

    @Test
    void removesOrdersOfInstancesThatNoLongerExist() {
        orders.add(report("i-1", 4), FAILED_MS);
        orders.retain(Set.of("i-2"));
        assertEquals(Set.of(), orders.services());
    }
}
