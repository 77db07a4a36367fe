package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.Route;
import pinewick.model.RouteKind;
import pinewick.model.RoutingTable;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * The shares of a {@code traffic_split} over a fleet whose routers each receive some of the requests. Every router
 * chooses the service of each request at random by the weights, so that the requests of the fleet are one binomial
 * sample, whatever the number of routers.
 */
class WeightedSplitTest {
    private static final int WINDOWS = 2_000;
    private static final int SMALL_WINDOW = 200;
    private static final int LARGE_WINDOW = 300;

    /** Maximum deviation of a service's share from its weight in any window of {@link #SMALL_WINDOW} requests. */
    private static final double MAX_DEVIATION_IN_SMALL_WINDOW = 0.2;

    /** Five standard deviations of a share of a half in a window of {@link #LARGE_WINDOW}: 6 windows in 10 million. */
    private static final double MAX_DEVIATION_IN_LARGE_WINDOW = 5 * Math.sqrt(0.25 / LARGE_WINDOW);

    private static final String FIRST = "first";
    private static final String SECOND = "second";

    /** The routing reads only the header fields and the start time of a request. */
    private static final Request REQUEST = (Request) Proxy.newProxyInstance(
            WeightedSplitTest.class.getClassLoader(), new Class<?>[] {Request.class}, (proxy, method, arguments) -> {
                return switch (method.getName()) {
                    case "getHeaders" -> HttpFields.EMPTY;
                    case "getBeginNanoTime" -> 0L;
                    default -> throw new UnsupportedOperationException(method.getName());
                };
            });

    private static Route route(int firstWeight, int secondWeight) {
        List<Route.WeightedService> split =
                List.of(new Route.WeightedService(FIRST, firstWeight), new Route.WeightedService(SECOND, secondWeight));
        return new Route("r", "host", "/r/", RouteKind.IDEMPOTENT, 1_000, 500, 0, split, 2, false, false, 0, false);
    }

    private static ReplicaRecord replica(String service) {
        return new ReplicaRecord(
                "i-" + service,
                service,
                new SocketAddress("10.0.0.1", 8_080),
                "zone",
                "v1",
                4,
                ReplicaState.READY,
                0,
                Stage.NONE,
                List.of(),
                1,
                false);
    }

    private static List<RequestRouting> fleet(int routers, long seed, String... served) {
        SplittableRandom seeds = new SplittableRandom(seed);
        ReplicaDirectory directory = new ReplicaDirectory();
        for (String service : served) {
            directory.update(replica(service));
        }
        List<RequestRouting> fleet = new ArrayList<>();
        for (int number = 0; number < routers; number++) {
            fleet.add(new RequestRouting(() -> RoutingTable.EMPTY, directory, seeds.split()));
        }
        return fleet;
    }

    /** Maximum deviation of the first service's share from its weight, over all windows. */
    private static double maxDeviation(List<RequestRouting> fleet, Route route, int window) {
        SplittableRandom random = new SplittableRandom(window);
        double weight = route.split().get(0).weight() / 100.0;
        double maxDeviation = 0;
        for (int count = 0; count < WINDOWS; count++) {
            int first = 0;
            for (int request = 0; request < window; request++) {
                RequestRouting router = fleet.get(random.nextInt(fleet.size()));
                first += router.shapeOf(route, REQUEST).orElseThrow().service().equals(FIRST) ? 1 : 0;
            }
            maxDeviation = Math.max(maxDeviation, Math.abs(first / (double) window - weight));
        }
        return maxDeviation;
    }

    @ParameterizedTest
    @CsvSource({"1, 50", "9, 50", "84, 50", "420, 50", "9, 90", "84, 90", "84, 1"})
    void everyWindowOfTheFleetFollowsTheWeights(int routers, int firstWeight) {
        Route route = route(firstWeight, 100 - firstWeight);
        List<RequestRouting> fleet = fleet(routers, 7, FIRST, SECOND);
        double smallWindowDeviation = maxDeviation(fleet, route, SMALL_WINDOW);
        double largeWindowDeviation = maxDeviation(fleet, route, LARGE_WINDOW);
        System.out.printf(
                "%d routers, weight %d: maximum deviation %.3f in %d requests, %.3f in %d%n",
                routers, firstWeight, smallWindowDeviation, SMALL_WINDOW, largeWindowDeviation, LARGE_WINDOW);
        assertTrue(smallWindowDeviation < MAX_DEVIATION_IN_SMALL_WINDOW, "deviation " + smallWindowDeviation);
        assertTrue(largeWindowDeviation < MAX_DEVIATION_IN_LARGE_WINDOW, "deviation " + largeWindowDeviation);
    }

    @Test
    void skipsAServiceWithoutReplicas() {
        RequestRouting router = fleet(1, 3, SECOND).get(0);
        assertEquals(
                SECOND, router.shapeOf(route(90, 10), REQUEST).orElseThrow().service());
    }
}
