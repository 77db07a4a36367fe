package pinewick.selection;

/** The minimum of recent values: over the current window and the one before it. */
public final class WindowedMinimum {
    private double current = Double.POSITIVE_INFINITY;
    private double previous = Double.POSITIVE_INFINITY;
    private double windowStart;

    public void add(double time, double value, double windowLength) {
        if (time - windowStart > windowLength) {
            previous = current;
            current = Double.POSITIVE_INFINITY;
            windowStart = time;
        }
        current = Math.min(current, value);
    }

    /** Infinite while nothing was added. */
    public double get() {
        return Math.min(current, previous);
    }
}
