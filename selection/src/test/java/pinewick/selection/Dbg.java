package pinewick.selection;

public final class Dbg {
    public static void main(String[] a) {
        int[][] fleets = {{9, 2, 6}, {9, 3, 5}};
        for (int[] f : fleets)
            for (double l : new double[] {0.55, 0.9, 1.1, 1.11, 1.4}) {
                double w = 0, lo = 0, sh = 0, rd = 0, via = 0, net = 0, mv = 0, ag = 0;
                int N = 8;
                for (int s = 1; s <= N; s++) {
                    VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(
                            f[0],
                            f[0],
                            f[1],
                            f[2],
                            VirtualFleet.usualKinds(l, l == 1.11 ? 1.9 : 1),
                            SelectionTuning.DEFAULT,
                            true,
                            true,
                            true,
                            1000,
                            s));
                    run.run(4000, 20000);
                    w += run.worth() / N;
                    net += run.netWorth() / N;
                    lo += run.share("long", o -> o.inTime) / N;
                    sh += run.share("short", o -> o.inTime) / N;
                    rd += run.sharedTokensRead() / 1e6 / N;
                    via += run.share("long", o -> o.viaPrefill) / N;
                    mv += run.movedGigabytes / N;
                    ag += run.sharedTokensReadAgain() / 1e6 / N;
                }
                System.out.printf(
                        "%d/%d load %.2f net %.3f worth %.3f long %.3f short %.3f read %.1f again %.2f via %.2f moved %.0f%n",
                        f[1], f[2], l, net, w, lo, sh, rd, ag, via, mv);
            }
    }
}
