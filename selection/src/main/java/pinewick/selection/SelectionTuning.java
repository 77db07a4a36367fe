package pinewick.selection;

/**
 * Free parameters of the score. The form R - s + q̂³·s with q̂ = 1 + os·n + q·(1 + busy share) is fixed.
 *
 * @param smoothing weight of one answer in R
 * @param busyWeight factor of the busy share that scales the reported queue
 * @param countSendingRouters whether n counts only routers that can have calls at the replica now, by its last report
 * @param excessHalfLifeMs time in which R - s of a replica that is not heard from falls half way to its kind's average
 * @param reportFreshMs a report counts in full up to this age
 * @param reportStaleMs and not at all from this age on
 * @param interference part of a prompt's reading time at a decode replica that each of the others there is charged with
 */
public record SelectionTuning(
        double smoothing,
        double busyWeight,
        boolean countSendingRouters,
        double excessHalfLifeMs,
        double reportFreshMs,
        double reportStaleMs,
        double interference) {
    /** What routers run with. */
    public static final SelectionTuning DEFAULT = new SelectionTuning(0.3, 1, true, 2_000, 1_000, 4_000, 0.1);
}
