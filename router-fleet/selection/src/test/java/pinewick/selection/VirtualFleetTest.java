package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The selection against a queueing model of engines, in virtual time. The thresholds are for the seeds used here. */
class VirtualFleetTest {
    private static final int SEEDS = 4;

    private record Figures(
            double value,
            double longInTime,
            double shortInTime,
            double longByPrefill,
            double netValue,
            double repeatedPrefillTokens) {}

    private static VirtualFleet fleet(
            SelectionTuning tuning, int countedRouters, boolean hints, double load, long seed) {
        return new VirtualFleet(new VirtualFleet.Setting(
                9, countedRouters, 3, 5, VirtualFleet.defaultKinds(load, 1), tuning, true, hints, true, 1_000, seed));
    }

    private static Figures runAll(SelectionTuning tuning, int countedRouters, boolean hints, double load) {
        double[] sums = new double[6];
        for (int seed = 1; seed <= SEEDS; seed++) {
            VirtualFleet run = fleet(tuning, countedRouters, hints, load, seed);
            run.run(4_000, 15_000);
            sums[0] += run.value() / SEEDS;
            sums[1] += run.fraction("long", outcome -> outcome.inTime) / SEEDS;
            sums[2] += run.fraction("short", outcome -> outcome.inTime) / SEEDS;
            sums[3] += run.fraction("long", outcome -> outcome.viaPrefill) / SEEDS;
            sums[4] += run.netValue() / SEEDS;
            sums[5] += (double) run.sharedTokensPrefilledAgain() / SEEDS;
        }
        return new Figures(sums[0], sums[1], sums[2], sums[3], sums[4], sums[5]);
    }

    private static Figures runWithDefaults(double load) {
        return runAll(SelectionTuning.DEFAULT, 9, true, load);
    }

    @Test
    void lowLoadIsServedInTime() {
        Figures figures = runWithDefaults(0.55);
        assertTrue(figures.value > 0.955, figures.toString());
        assertTrue(figures.shortInTime > 0.985, figures.toString());
        assertTrue(figures.longByPrefill > 0.4, figures.toString());
    }

    @Test
    void highLoadIsServedMostlyInTime() {
        Figures figures = runWithDefaults(1.1);
        assertTrue(figures.value > 0.93, figures.toString());
        assertTrue(figures.shortInTime > 0.96, figures.toString());
    }

    @Test
    void scalingOutstandingCallsByRoutersAvoidsHerding() {
        Figures with = runWithDefaults(1.1);
        Figures without = runAll(SelectionTuning.DEFAULT, 1, true, 1.1);
        assertTrue(with.value > without.value, with + " against " + without);
    }

    @Test
    void serviceTimeByRequestServesBetterThanMinimumLatency() {
        Figures with = runWithDefaults(1.6);
        Figures without = runAll(SelectionTuning.DEFAULT.withServiceByRequest(false), 9, true, 1.6);
        assertTrue(with.value > without.value + 0.1, with + " against " + without);
    }

    /** The prices of a prefill also lead requests to cached prefixes; without the prices only s does. */
    @Test
    void withoutPrefillPricesServiceTimeByRequestIsNeeded() {
        SelectionTuning scoreAlone =
                SelectionTuning.DEFAULT.withRepeatedPrefillWeight(0).withInterferenceWeight(0);
        Figures with = runAll(scoreAlone, 9, true, 1.2);
        Figures without = runAll(scoreAlone.withServiceByRequest(false), 9, true, 1.2);
        assertTrue(with.value > without.value + 0.5, with + " against " + without);
    }

    @Test
    void hintsOfOtherRoutersFindCachedPrefixes() {
        Figures with = runWithDefaults(0.9);
        Figures without = runAll(SelectionTuning.DEFAULT, 9, false, 0.9);
        assertTrue(with.longInTime > without.longInTime + 0.1, with + " against " + without);
    }

    @Test
    void thePriceOfRepeatedPrefillSavesPrefill() {
        Figures with = runWithDefaults(1.1);
        Figures without = runAll(SelectionTuning.DEFAULT.withRepeatedPrefillWeight(0), 9, true, 1.1);
        assertTrue(with.netValue > without.netValue, with + " against " + without);
        assertTrue(with.repeatedPrefillTokens < 0.8 * without.repeatedPrefillTokens, with + " against " + without);
    }

    @Test
    void theInterferencePriceReducesPrefillOnDecodeReplicas() {
        Figures with = runWithDefaults(1.1);
        Figures without = runAll(SelectionTuning.DEFAULT.withInterferenceWeight(0), 9, true, 1.1);
        assertTrue(with.value > without.value, with + " against " + without);
        assertTrue(with.longByPrefill > without.longByPrefill, with + " against " + without);
    }

    @Test
    void anUnreachableReplicaCostsAboutOneRequestPerRouter() {
        int lost = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            VirtualFleet run = fleet(SelectionTuning.DEFAULT, 9, true, 0.9, seed);
            run.makeUnreachable(5, 10_000, 4_500);
            run.run(8_000, 8_000);
            lost += run.outcomes.values().stream()
                    .mapToInt(outcome -> outcome.failed)
                    .sum();
        }
        assertTrue(lost <= 18 * SEEDS, "lost " + lost + " in " + SEEDS + " runs");
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        String[] figures = new String[2];
        for (int each = 0; each < 2; each++) {
            VirtualFleet run = fleet(SelectionTuning.DEFAULT, 9, true, 0.9, 5);
            run.run(2_000, 4_000);
            figures[each] = run.figures();
        }
        assertEquals(figures[0], figures[1]);
    }

    @Test
    void withoutPrefillReplicasServingIsAggregated() {
        VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(
                3, 3, 0, 6, VirtualFleet.defaultKinds(0.4, 1), SelectionTuning.DEFAULT, true, true, true, 1_000, 1));
        run.run(2_000, 5_000);
        assertEquals(0, run.fraction("long", outcome -> outcome.failed), 1e-9);
        assertEquals(0, run.fraction("long", outcome -> outcome.viaPrefill), 1e-9);
    }
}
