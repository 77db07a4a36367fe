package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                100,
                0,
                List.of(new Route.WeightedService("s", 1)),
                1,
                false,
                false,
                0,
                false);
    }

    private static String find(String host, String path) {
        RoutingTable table = new RoutingTable(
                1,
                List.of(
                        route("root", "a.example", "/"),
                        route("x", "a.example", "/x/"),
                        route("xy", "a.example", "/x/y/"),
                        route("other", "b.example", "/x/")),
                List.of(),
                RequestLimits.DEFAULT);
        return table.find(host, path).map(Route::name).orElse("none");
    }

    @Test
    void findsTheLongestPrefixOfTheHost() {
        assertEquals("root", find("a.example", "/"));
        assertEquals("root", find("a.example", "/x"));
        assertEquals("x", find("a.example", "/x/"));
        assertEquals("x", find("a.example", "/x/y"));
        assertEquals("xy", find("a.example", "/x/y/"));
        assertEquals("xy", find("a.example", "/x/y/z/1"));
        assertEquals("root", find("a.example", "/xx/y/"));
        assertEquals("other", find("b.example", "/x/1"));
    }

    @Test
    void findsNoRouteForOtherHostsAndPaths() {
        assertEquals("none", find("b.example", "/"));
        assertEquals("none", find("b.example", "/y/x/"));
        assertEquals("none", find("c.example", "/x/"));
        assertEquals("none", find("b.example", ""));
        assertEquals("none", find("b.example", "x/"));
    }
}
