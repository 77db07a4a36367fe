package pinewick.selection;

/** The minimum of recent values: over the current window and the one before it. */
public final class WindowedMinimum {
    private double current = Double.POSITIVE_INFINITY;
    private double previous = Double.POSITIVE_INFINITY;
    private double windowStart;

    /** Adds a value; starts a new window if the current one began more than {@code windowLength} ago. */
    public void add(double time, double value, double windowLength) {
        if (time - windowStart > windowLength) {
            previous = current;
            current = Double.POSITIVE_INFINITY;
            windowStart = time;
        }
        current = Math.min(current, value);
    }

    /** The minimum; infinite if no value was added recently. */
    public double get() {
        return Math.min(current, previous);
    }
}
