package pinewick.lab.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests how the laboratory evaluates its measurements. */
class FiguresTest {
    private static final double TARGET_MS = 1_000;

    @Test
    void reportsAFaultIfTheMedianMissesItsTarget() {
        Figures figures = new Figures();
        figures.add("repair", 900, TARGET_MS);
        figures.add("repair", 1_500, TARGET_MS);
        figures.add("repair", 950, TARGET_MS);
        assertEquals(List.of(), figures.faults());
        figures.add("repair", 1_600, TARGET_MS);
        assertEquals(1, figures.faults().size());
        assertTrue(figures.table().contains("| repair | 4 | 900.0 | 1500.0 | 1600.0 |"), figures.table());
        assertEquals(4, figures.toJson().getAsJsonArray("repair").size());
    }

    @Test
    void readsTolerableLossesOnlyFromAPrimary() {
        String backup = "{\"version\":3,\"epoch\":4,\"members\":[],\"tolerable_losses_unknown\":\"not the primary\"}";
        assertEquals(
                Optional.empty(),
                PrimaryReport.of(1, JsonParser.parseString(backup).getAsJsonObject()));
        String primary = "{\"version\":3,\"epoch\":4,\"tolerable_losses\":1,\"members\":["
                + "{\"address\":\"10.0.0.1:7721\",\"in_sync\":true},{\"address\":\"10.0.0.2:7721\","
                + "\"in_sync\":false}]}";
        PrimaryReport report = PrimaryReport.of(
                        2, JsonParser.parseString(primary).getAsJsonObject())
                .orElseThrow();
        assertEquals(4, report.epoch());
        assertEquals(1, report.tolerableLosses());
        assertEquals(1, report.inSync().size());
        assertTrue(report.inSync().contains("10.0.0.1:7721"));
    }
}
