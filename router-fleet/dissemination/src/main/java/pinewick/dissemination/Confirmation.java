package pinewick.dissemination;

/**
 * When the configuration of this process was last known to be the newest: no configuration with a version above
 * {@code version} was acknowledged before {@code confirmedAtMs}.
 *
 * @param version the version in force at this process; the statement also holds for a higher version that is applied
 *     later
 * @param confirmedAtMs monotonic time of this process, milliseconds; {@link Double#NEGATIVE_INFINITY} for never
 */
public record Confirmation(long version, double confirmedAtMs) {
    /** The configuration was never known to be the newest. */
    static final Confirmation NONE = new Confirmation(0, Double.NEGATIVE_INFINITY);

    /** Whether the configuration was ever known to be the newest. */
    public boolean isKnown() {
        return confirmedAtMs > Double.NEGATIVE_INFINITY;
    }
}
