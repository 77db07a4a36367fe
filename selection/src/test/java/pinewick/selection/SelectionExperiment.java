package pinewick.selection;

import java.util.List;

/** Prints the figures of a virtual fleet with and without each term. Run by hand; takes a minute. */
public final class SelectionExperiment {
    private SelectionExperiment() {}

    private record Variant(String name, SelectionTuning tuning, boolean reports, boolean hints) {}

    public static void main(String[] arguments) {
        SelectionTuning usual = SelectionTuning.DEFAULT;
        List<Variant> variants = List.of(
                new Variant("default", usual, true, true),
                new Variant("no hints", usual, true, false),
                new Variant("no reports", usual, false, true),
                new Variant("s lowest answer", usual.withServiceByRequest(false), true, true),
                new Variant("no busy share", usual.withBusyWeight(0), true, true));
        double[][] loads = {{0.8, 1}, {1.6, 1}, {1.6, 1.9}};
        int[][] fleets = {{9, 2, 6}, {9, 3, 5}};
        for (int[] fleet : fleets) {
            for (double[] load : loads) {
                System.out.println("== routers " + fleet[0] + " prefill " + fleet[1] + " decode " + fleet[2] + " load "
                        + load[0] + " burst " + load[1]);
                for (Variant variant : variants) {
                    print(variant, fleet, load);
                }
            }
        }
    }

    private static void print(Variant variant, int[] fleet, double[] load) {
        double worth = 0;
        String figures = "";
        int seeds = 3;
        for (int seed = 1; seed <= seeds; seed++) {
            VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(fleet[0], fleet[0], fleet[1], fleet[2],
                    VirtualFleet.usualKinds(load[0], load[1]), variant.tuning, variant.reports, variant.hints, 500,
                    seed));
            run.run(5_000, 25_000);
            worth += run.worth() / seeds;
            figures = run.figures();
        }
        System.out.printf("%-16s worth %.3f  %s%n", variant.name, worth, figures);
    }
}
