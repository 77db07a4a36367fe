package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplacementTest {
    @Test
    void readsRoutesServicesAndLimits() throws InvalidConfigurationException {
        RoutingTable table = ConfigurationChecks.toRoutingTable(SampleDocuments.full());

        Route route = table.find("shop.example", "/a/x").orElseThrow();
        assertEquals(7, table.version());
        assertEquals(
                List.of(new Route.WeightedService("s-1", 90), new Route.WeightedService("s-2", 10)), route.split());
        assertEquals(RouteKind.STREAMING, route.kind());
        assertTrue(route.isRetriable());
        assertEquals(
                new EngineSpec(24, 610_342, 18_432, 180_000, 10, 5, 3.6),
                table.service("s-1").orElseThrow().engine().orElseThrow());
        assertEquals("/ok", table.service("s-2").orElseThrow().healthCheckPath());
        assertEquals(new RequestLimits(16_384, 4_194_304, 3_000, 15_000), table.limits());
    }

    @Test
    void returnsTheDocumentAsSubmitted() throws InvalidConfigurationException {
        String submitted = SampleDocuments.FULL.replace("\n", "");

        assertEquals(submitted, SampleDocuments.json(SampleDocuments.full()));
    }
}
