package pinewick.selection;

import java.util.ArrayDeque;

/** The sum of timed amounts since a start of the window that only moves forward. */
public final class WindowedSum {
    private final ArrayDeque<double[]> entries = new ArrayDeque<>();
    private double sum;

    public void add(double at, double amount) {
        entries.addLast(new double[] {at, amount});
        sum += amount;
    }

    public double since(double from) {
        while (!entries.isEmpty() && entries.peekFirst()[0] < from) {
            sum -= entries.pollFirst()[1];
        }
        if (entries.isEmpty()) {
            // Without this the rounding errors of all amounts that have left the window would add up.
            sum = 0;
        }
        return sum;
    }
}
