package pinewick.fleet.state;

/**
 * The times and rates of replication.
 *
 * @param turn seconds between two turns of sending news; a warning is handed on twice, {@code again} seconds apart
 * @param bytesASecond what a member sends for it at most over any longer time; a burst of {@code burst} bytes besides
 * @param fan members that a piece of news is handed to at each hop
 * @param compare seconds between two comparisons with another member; one that lacks something compares each turn
 * @param again see {@code turn}
 * @param freshest seconds for which a fact is news and handed on; older ones travel by comparison alone
 * @param enough words of other origins, younger than {@code fresh} seconds and alike, that make one's own superfluous
 * @param alike the relative difference below which two words of a pace are alike
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
    public static FactReplicationSettings defaults() {
        return new FactReplicationSettings(0.1, 1500, 16_000, 4, 1, 0.3, 1.5, 3, 30, 0.25);
    }
}
