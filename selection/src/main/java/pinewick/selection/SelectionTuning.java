package pinewick.selection;

/**
 * Free parameters of the score. The form R - s + q̂³·s with q̂ = 1 + os·n + q·(1 + busy share), n being
 * the number of routers, is fixed.
 *
 * @param smoothing weight of one answer in R
 * @param busyWeight factor of the busy share that scales the reported queue
 * @param serviceByRequest whether s is the request's own service time, or the lowest recent answer time whatever its size
 * @param excessHalfLifeMs time in which R - s of a replica that is not heard from falls half way to its kind's average
 * @param reportFreshMs a report counts in full up to this age
 * @param reportStaleMs and not at all from this age on
 * @param interference weight of the delay that a prompt's reading brings to the calls that come meanwhile
 */
public record SelectionTuning(
        double smoothing,
        double busyWeight,
        boolean serviceByRequest,
        double excessHalfLifeMs,
        double reportFreshMs,
        double reportStaleMs,
        double interference) {
    /** What routers run with. */
    public static final SelectionTuning DEFAULT = new SelectionTuning(0.3, 1, true, 2_000, 0, 1_500, 0.5);

    /** The same with another busy weight. */
    public SelectionTuning withBusyWeight(double other) {
        return new SelectionTuning(smoothing, other, serviceByRequest, excessHalfLifeMs,
                reportFreshMs, reportStaleMs, interference);
    }

    /** The same with another stand-in for s. */
    public SelectionTuning withServiceByRequest(boolean other) {
        return new SelectionTuning(smoothing, busyWeight, other, excessHalfLifeMs,
                reportFreshMs, reportStaleMs, interference);
    }

    /** The same with another charge for reading between the tokens of others. */
    public SelectionTuning withInterference(double other) {
        return new SelectionTuning(smoothing, busyWeight, serviceByRequest, excessHalfLifeMs,
                reportFreshMs, reportStaleMs, other);
    }
}
