package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.Route;
import pinewick.model.RouteKind;

/** The priority of a call, by its route, its expected service time and the time left to its deadline. */
class CallPriorityTest {
    private static final double ARRIVED_AT_MS = 1_000;
    private static final double TIMEOUT_MS = 5_000;
    private static final int TARGET_MS = 400;

    private static RequestShape request(int priority) {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAMING,
                (int) TIMEOUT_MS,
                TARGET_MS,
                priority,
                List.of(new Route.WeightedService("s", 1)),
                2,
                true,
                false,
                150,
                false);
        return new RequestShape(route, "s", true, "m", 1_000, 20, List.of(), ARRIVED_AT_MS, ARRIVED_AT_MS + TIMEOUT_MS);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "1,1", "9,9", "40,9"})
    void aCallWithinTheTargetLatencyHasItsRoutesPriority(int priority, int expected) {
        assertEquals(expected, CallPriority.of(request(priority), TARGET_MS, ARRIVED_AT_MS));
    }

    @ParameterizedTest
    @CsvSource({"0,5", "1,6", "4,9", "9,9"})
    void aCallWhoseServiceTimeExceedsTheTargetHasItsPriorityLowered(int priority, int expected) {
        assertEquals(expected, CallPriority.of(request(priority), TARGET_MS + 1, ARRIVED_AT_MS));
    }

    @ParameterizedTest
    @CsvSource({"0,301", "0,2000", "3,4000"})
    void aShortCallKeepsItsPriorityAfterWaiting(int priority, double waitedMs) {
        assertEquals(priority, CallPriority.of(request(priority), 100, ARRIVED_AT_MS + waitedMs));
    }

    @ParameterizedTest
    @CsvSource({"2500,0", "2000,500", "500,2000"})
    void aCallExpectedToUseHalfOfItsTimeKeepsItsPriority(double serviceMs, double waitedMs) {
        assertEquals(0, CallPriority.of(request(0), serviceMs, ARRIVED_AT_MS + waitedMs));
    }
}
