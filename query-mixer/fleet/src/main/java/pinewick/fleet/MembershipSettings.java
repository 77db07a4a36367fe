package pinewick.fleet;

/**
 * The times of a fleet's view, in seconds, and its counts. All mixers of a tier must be given the same.
 *
 * @param period between two probes by a member; the fleet's turns are drawn anew in each
 * @param again how long after a ping it is sent once more, and after twice that other members are asked to look
 * @param probe how long a probe may take before its member is suspected
 * @param silence how long a suspect has been silent at least before it is declared dead, counted from the first ping
 *     that it left unanswered; a member that stands still for less never is
 * @param silenceMost the same where nobody else noticed
 * @param confirmations how many further members have to notice for the least silence to do
 * @param helpers how many members are asked to look at one that does not answer
 * @param gossip between two datagrams of news alone, while there is news
 * @param spread how often a rumour is sent: so many times the number of decimal digits of the member count
 * @param lowerAfter how long a death must have stood before it raises this mixer's share of a budget
 * @param leastShare the budget's count never falls below this share of the listed members
 */
public record MembershipSettings(
        double probeIntervalSeconds,
        double pingRetrySeconds,
        double probeTimeoutSeconds,
        double minSilenceSeconds,
        double maxSilenceSeconds,
        int confirmations,
        int indirectProbers,
        double gossipIntervalSeconds,
        int retransmitMultiplier,
        double deadCountedSeconds,
        double minCountedShare) {

    /** What suits a tier on one platform, where datagrams take some milliseconds and a tenth of them is lost. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(0.35, 0.15, 0.8, 2.45, 4.9, 2, 3, 0.2, 4, 30, 0.8);
    }

    public MembershipSettings {
        if (!(probeIntervalSeconds > 0
                && pingRetrySeconds > 0
                && probeTimeoutSeconds >= 3 * pingRetrySeconds
                && minSilenceSeconds > probeTimeoutSeconds
                && maxSilenceSeconds >= minSilenceSeconds)) {
            throw new IllegalArgumentException("fleet: period and again above 0, probe at least three times again, "
                    + "silence above probe and not above silenceMost are expected");
        }
        if (confirmations < 0
                || indirectProbers < 1
                || !(gossipIntervalSeconds > 0)
                || retransmitMultiplier < 1
                || !(deadCountedSeconds >= 0)
                || !(minCountedShare >= 0 && minCountedShare <= 1)) {
            throw new IllegalArgumentException(
                    "fleet: confirmations, helpers, gossip, spread, lowerAfter or leastShare " + "is out of range");
        }
    }
}
