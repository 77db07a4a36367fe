package pinewick.dissemination;

/**
 * When the configuration of this process was last known to be the newest: no configuration with a version above
 * {@code version} was acknowledged before {@code confirmedAtMs}.
 *
 * @param version the version in force here; a higher one that is put in force later is covered as well
 * @param confirmedAtMs steady time of this process, milliseconds; {@link Double#NEGATIVE_INFINITY} for never
 */
public record Confirmation(long version, double confirmedAtMs) {
    /** Nothing is known. */
    static final Confirmation NONE = new Confirmation(0, Double.NEGATIVE_INFINITY);

    /** Whether the configuration was ever known to be the newest. */
    public boolean isKnown() {
        return confirmedAtMs > Double.NEGATIVE_INFINITY;
    }
}
