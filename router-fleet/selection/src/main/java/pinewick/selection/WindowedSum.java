package pinewick.selection;

import java.util.ArrayDeque;

/** The sum of timestamped amounts in a window whose start only moves forward. */
public final class WindowedSum {
    private final ArrayDeque<double[]> entries = new ArrayDeque<>();
    private double sum;

    public void add(double at, double amount) {
        entries.addLast(new double[] {at, amount});
        sum += amount;
    }

    /** The sum of the amounts from this time on; earlier ones are dropped. */
    public double since(double from) {
        while (!entries.isEmpty() && entries.peekFirst()[0] < from) {
            sum -= entries.pollFirst()[1];
        }
        if (entries.isEmpty()) {
            // Discards the rounding errors of the amounts that have left the window, which would otherwise accumulate.
            sum = 0;
        }
        return sum;
    }
}
