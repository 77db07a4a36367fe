package pinewick.fleet.state;

/**
 * Settings of the replication of facts.
 *
 * @param sendIntervalSeconds time between two rounds of sending pending facts
 * @param bytesPerSecond maximum rate at which a member sends over any longer time
 * @param burstBytes bytes that may be sent in addition to the rate
 * @param fanout number of members that a warning is forwarded to at each hop; other facts go to half as many
 * @param comparisonIntervalSeconds time between two comparisons with another member; a member that is catching up
 *     compares in each round
 * @param warningResendSeconds time after which a warning is sent a second time
 * @param maxGossipAgeSeconds age up to which a fact is forwarded; older facts are replicated by comparison alone
 * @param sufficientReports number of other origins with similar facts, younger than {@code reportFreshSeconds},
 *     that make an own one superfluous
 * @param reportFreshSeconds see {@code sufficientReports}
 * @param similarityTolerance relative difference up to which two latencies are similar
 */
public record FactReplicationSettings(
        double sendIntervalSeconds,
        double bytesPerSecond,
        double burstBytes,
        int fanout,
        double comparisonIntervalSeconds,
        double warningResendSeconds,
        double maxGossipAgeSeconds,
        int sufficientReports,
        double reportFreshSeconds,
        double similarityTolerance) {
    /** Defaults; the same for all routers. */
    public static FactReplicationSettings defaults() {
        return new FactReplicationSettings(0.1, 1500, 16_000, 4, 1, 0.3, 1.5, 3, 30, 0.25);
    }
}
