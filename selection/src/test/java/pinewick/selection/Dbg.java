package pinewick.selection;
public final class Dbg {
    public static void main(String[] a) {
        VirtualFleet run = new VirtualFleet(new VirtualFleet.Setting(9, 2, 6, VirtualFleet.usualKinds(0.8, 1), SelectionTuning.DEFAULT, true, true, 500, 1));
        run.run(5000, 15000);
        ReplicaSelector.DEBUG = true;
        run.time.runUntil(21000);
        System.out.println(run.figures());
    }
}
