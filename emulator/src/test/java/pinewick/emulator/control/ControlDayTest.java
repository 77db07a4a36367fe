package pinewick.emulator.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.logging.LogManager;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A small fixed set of runs; {@code lab control} plays many more. */
class ControlDayTest {
    private static final int SEEDS = 200;
    private static final int SEEDS_FOR_A_VARIANT = 600;

    @BeforeAll
    static void silenceLogs() {
        LogManager.getLogManager().reset();
    }

    @Test
    void everyInvariantHolds() {
        List<DayResult> results = LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> ControlDay.play(seed, BrokenVariant.NONE, false))
                .toList();
        List<String> broken = results.stream()
                .filter(result -> result.violation().isPresent())
                .map(result -> "seed " + result.seed() + ": "
                        + result.violation().get().getMessage())
                .toList();
        assertEquals(List.of(), broken);
        long acknowledged = results.stream().mapToLong(DayResult::acknowledged).sum();
        long ends = results.stream().mapToLong(DayResult::endsAcknowledged).sum();
        assertTrue(acknowledged > 20L * SEEDS, "too few changes: " + acknowledged);
        assertTrue(ends > 3L * SEEDS, "too few ends of replicas: " + ends);
    }

    /** The known seed is tried first; as the code changes, another one may be the first to catch a variant. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aBrokenVariantIsCaught(BrokenVariant variant) {
        LongStream seeds =
                LongStream.concat(LongStream.of(variant.knownSeed()), LongStream.range(0, SEEDS_FOR_A_VARIANT));
        Optional<DayResult> caught = seeds.mapToObj(seed -> ControlDay.play(seed, variant, false))
                .filter(result -> result.violation().isPresent())
                .findFirst();
        assertTrue(caught.isPresent(), variant + " is not caught by " + SEEDS_FOR_A_VARIANT + " seeds");
        System.out.println(variant + " caught by seed " + caught.get().seed() + ", "
                + caught.get().violation().get().getMessage());
    }

    @Test
    void aSeedRepeatsItself() {
        DayResult first = ControlDay.play(4, BrokenVariant.NONE, true);
        DayResult again = ControlDay.play(4, BrokenVariant.NONE, true);
        assertEquals(first.trace(), again.trace());
        assertEquals(first.acknowledgedAfterMs(), again.acknowledgedAfterMs());
    }
}
