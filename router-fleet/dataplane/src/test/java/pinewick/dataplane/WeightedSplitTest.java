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
 * The parts of a {@code traffic_split} over a fleet whose routers each see some of the requests. Every router draws
 * each request by the weights, so that the fleet's requests are one binomial sample, whatever number of routers.
 */
class WeightedSplitTest {
    private static final int WINDOWS = 2_000;
    private static final int SMALL_WINDOW = 200;
    private static final int LARGE_WINDOW = 300;

    /** No part of a window of {@link #SMALL_WINDOW} may be further off its weight. */
    private static final double BROKEN_OFF = 0.2;

    /** Five standard deviations of a share of a half in a window of {@link #LARGE_WINDOW}: 6 windows in 10 million. */
    private static final double LIKELY_OFF = 5 * Math.sqrt(0.25 / LARGE_WINDOW);

    private static final String FIRST = "first";
    private static final String SECOND = "second";

    /** The routing reads nothing of a request but its fields and when it began. */
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

    /** The furthest that the first part's share of any window is off its weight. */
    private static double furthestOff(List<RequestRouting> fleet, Route route, int window) {
        SplittableRandom clients = new SplittableRandom(window);
        double weight = route.split().get(0).weight() / 100.0;
        double furthest = 0;
        for (int count = 0; count < WINDOWS; count++) {
            int first = 0;
            for (int request = 0; request < window; request++) {
                RequestRouting router = fleet.get(clients.nextInt(fleet.size()));
                first += router.shapeOf(route, REQUEST).orElseThrow().service().equals(FIRST) ? 1 : 0;
            }
            furthest = Math.max(furthest, Math.abs(first / (double) window - weight));
        }
        return furthest;
    }

    @ParameterizedTest
    @CsvSource({"1, 50", "9, 50", "84, 50", "420, 50", "9, 90", "84, 90", "84, 1"})
    void everyWindowOfTheFleetKeepsTheWeights(int routers, int firstWeight) {
        Route route = route(firstWeight, 100 - firstWeight);
        List<RequestRouting> fleet = fleet(routers, 7, FIRST, SECOND);
        double small = furthestOff(fleet, route, SMALL_WINDOW);
        double large = furthestOff(fleet, route, LARGE_WINDOW);
        System.out.printf(
                "%d routers, weight %d: off by %.3f at most in %d requests, %.3f in %d%n",
                routers, firstWeight, small, SMALL_WINDOW, large, LARGE_WINDOW);
        assertTrue(small < BROKEN_OFF, "off by " + small);
        assertTrue(large < LIKELY_OFF, "off by " + large);
    }

    @Test
    void aPartWithoutAReplicaIsLeftOutWhileAnotherHasOne() {
        RequestRouting router = fleet(1, 3, SECOND).get(0);
        assertEquals(
                SECOND, router.shapeOf(route(90, 10), REQUEST).orElseThrow().service());
    }
}
