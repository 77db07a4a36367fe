package pinewick.selection;
import java.util.*;
public final class Sweep {
    static double[][] LOADS = {{0.55, 1}, {0.9, 1}, {1.1, 1}, {1.1, 1.9}};
    static String row(SelectionTuning t, boolean rep, boolean hints, double every, int routers, int p, int d) {
        StringBuilder b = new StringBuilder();
        for (double[] l : LOADS) {
            double w = 0; double lt = 0, sh = 0, via = 0, mv = 0, rd = 0;
            int seeds = 8;
            for (int s = 1; s <= seeds; s++) {
                VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(routers, Integer.getInteger("n", routers), p, d, VirtualFleet.usualKinds(l[0], l[1]), t, rep, hints, every, s));
                run.run(4000, 20000);
                w += run.worth() / seeds;
                VirtualFleet.Outcome o = run.outcomes.get("long"), q = run.outcomes.get("short");
                lt += o.inTime / (double) o.asked / seeds; sh += q.inTime / (double) q.asked / seeds; via += o.viaPrefill / (double) o.asked / seeds;
                mv += run.movedGigabytes / seeds; long x = 0; for (VirtualEngine e : run.engines) x += e.sharedTokensRead; rd += x / 1e6 / seeds;
            }
            b.append(String.format("%.3f (long %.2f short %.3f via %.2f mv %.0f rd %.1f) ", w, lt, sh, via, mv, rd));
        }
        return b.toString();
    }
    public static void main(String[] a) {
        SelectionTuning u = SelectionTuning.DEFAULT;
        int[][] fleets = {{9,2,6},{9,3,5}};
        Map<String, Object[]> m = new LinkedHashMap<>();
        m.put("default", new Object[] {u, true, 500.0});
        m.put("norep", new Object[] {u, false, 500.0});
        for (int[] f : fleets) { System.out.println(Arrays.toString(f));
        for (var e : m.entrySet()) System.out.printf("%-22s %s%n", e.getKey(), row((SelectionTuning) e.getValue()[0], (Boolean) e.getValue()[1], true, (Double) e.getValue()[2], f[0], f[1], f[2])); }
    }
}
