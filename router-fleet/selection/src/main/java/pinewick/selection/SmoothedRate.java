package pinewick.selection;

/** The rate at which the amounts of events add up, per millisecond, as an exponentially decaying average. */
final class SmoothedRate {
    private static final double TIME_CONSTANT_MS = 3_000;

    private double perMs;
    private double atMs = Double.NaN;

    void add(double amount, double nowMs) {
        perMs = perMs(nowMs) + amount / TIME_CONSTANT_MS;
        atMs = nowMs;
    }

    double perMs(double nowMs) {
        return Double.isNaN(atMs) ? 0 : perMs * Math.exp(Math.min(0, atMs - nowMs) / TIME_CONSTANT_MS);
    }
}
