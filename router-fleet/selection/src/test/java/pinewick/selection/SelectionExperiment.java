package pinewick.selection;

import java.util.ArrayList;
import java.util.List;

/**
 * Prints the results of a virtual fleet with and without each term of the score, for several loads and sizes. Run by
 * hand; takes a minute or two. The argument {@code large} simulates 84 routers.
 */
public final class SelectionExperiment {
    private static final int WARM_UP_MS = 4_000;
    private static final int LENGTH_MS = 20_000;

    private SelectionExperiment() {}

    private record Variant(
            String name,
            SelectionTuning tuning,
            int countedRouters,
            boolean reports,
            boolean hints,
            boolean admission) {}

    private record Load(double factor, double burst) {}

    private static List<Variant> variants(int routers) {
        SelectionTuning defaults = SelectionTuning.DEFAULT;
        List<Variant> variants = new ArrayList<>();
        variants.add(new Variant("all terms", defaults, routers, true, true, false));
        variants.add(new Variant("n = 1", defaults, 1, true, true, false));
        variants.add(
                new Variant("queues not in batches", defaults.withCountInBatches(false), routers, true, true, false));
        variants.add(new Variant("no reports", defaults, routers, false, true, false));
        variants.add(new Variant("no busy share", defaults.withBusyWeight(0), routers, true, true, false));
        variants.add(
                new Variant("s = lowest answer", defaults.withServiceByRequest(false), routers, true, true, false));
        variants.add(new Variant("no hints", defaults, routers, true, false, false));
        variants.add(new Variant("no delay of others", defaults.withInterferenceWeight(0), routers, true, true, false));
        variants.add(new Variant(
                "no price of re-reading", defaults.withRepeatedPrefillWeight(0), routers, true, true, false));
        variants.add(new Variant("admission", defaults, routers, true, true, true));
        return variants;
    }

    public static void main(String[] arguments) {
        boolean large = arguments.length > 0 && arguments[0].equals("large");
        int[][] fleets = large ? new int[][] {{84, 12, 27}} : new int[][] {{9, 2, 6}, {9, 3, 5}};
        Load[] loads = {new Load(0.55, 1), new Load(0.9, 1), new Load(1.1, 1), new Load(1.1, 1.9), new Load(1.6, 1)};
        int seeds = large ? 2 : 8;
        for (int[] fleet : fleets) {
            for (Load load : loads) {
                System.out.printf(
                        "== %d routers, %d prefill, %d decode, load %.2f, short requests times %.1f%n",
                        fleet[0], fleet[1], fleet[2], load.factor, load.burst);
                for (Variant variant : variants(fleet[0])) {
                    System.out.printf("%-22s %s%n", variant.name, figures(variant, fleet, load, seeds, large ? 5 : 1));
                }
            }
        }
    }

    private static String figures(Variant variant, int[] fleet, Load load, int seeds, double scale) {
        double value = 0;
        double netValue = 0;
        double longInTime = 0;
        double shortInTime = 0;
        double viaPrefill = 0;
        double transferred = 0;
        double sharedPrefilled = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(
                    fleet[0],
                    variant.countedRouters,
                    fleet[1],
                    fleet[2],
                    VirtualFleet.defaultKinds(load.factor * scale, load.burst),
                    variant.tuning,
                    variant.reports,
                    variant.hints,
                    variant.admission,
                    1_000,
                    seed));
            run.run(WARM_UP_MS, LENGTH_MS);
            value += run.value() / seeds;
            netValue += run.netValue() / seeds;
            longInTime += run.fraction("long", outcome -> outcome.inTime) / seeds;
            shortInTime += run.fraction("short", outcome -> outcome.inTime) / seeds;
            viaPrefill += run.fraction("long", outcome -> outcome.viaPrefill) / seeds;
            transferred += run.transferredGigabytes / seeds;
            sharedPrefilled += run.sharedTokensPrefilled() / 1e6 / seeds;
        }
        return String.format(
                "worth %.3f  less prices %.3f  long in time %.3f  short in time %.3f  long by prefill %.2f"
                        + "  moved %.0f GB"
                        + "  shared read %.1f Mtok",
                value, netValue, longInTime, shortInTime, viaPrefill, transferred, sharedPrefilled);
    }
}
