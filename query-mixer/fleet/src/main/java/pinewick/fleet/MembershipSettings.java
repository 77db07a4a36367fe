package pinewick.fleet;

/**
 * Settings of the membership view; times are in seconds. All routers of a tier must have the same settings.
 *
 * @param probeIntervalSeconds time between two probes by a member; each such round has its own probe targets
 * @param pingRetrySeconds time after which an unanswered ping is sent again; after twice this time other members
 *     are asked to probe
 * @param probeTimeoutSeconds time after which the target of an unanswered probe is suspected
 * @param minSilenceSeconds shortest silence after which a suspect is declared dead, counted from the first
 *     unanswered ping; a member that pauses for less never is
 * @param maxSilenceSeconds the same if no other member noticed the silence
 * @param confirmations number of further members that have to notice for the shortest silence to apply
 * @param indirectProbers number of members that are asked to probe a member that does not answer
 * @param gossipIntervalSeconds time between two datagrams that carry only gossip, while updates are pending
 * @param retransmitMultiplier an update is sent this many times the number of decimal digits of the member count
 * @param deadCountedSeconds time for which a dead member still counts towards the shares of a budget
 * @param minCountedShare share of the listed members below which the count for a budget never falls
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

    /** Defaults for a tier on one platform, where datagrams take some milliseconds and a tenth of them is lost. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(0.35, 0.15, 0.8, 2.45, 4.9, 2, 3, 0.2, 4, 30, 0.8);
    }

    public MembershipSettings {
        if (!(probeIntervalSeconds > 0
                && pingRetrySeconds > 0
                && probeTimeoutSeconds >= 3 * pingRetrySeconds
                && minSilenceSeconds > probeTimeoutSeconds
                && maxSilenceSeconds >= minSilenceSeconds)) {
            throw new IllegalArgumentException(
                    "fleet: probe interval and ping retry above 0, probe timeout at least three ping retries, "
                            + "minimum silence above the probe timeout and not above the maximum are expected");
        }
        if (confirmations < 0
                || indirectProbers < 1
                || !(gossipIntervalSeconds > 0)
                || retransmitMultiplier < 1
                || !(deadCountedSeconds >= 0)
                || !(minCountedShare >= 0 && minCountedShare <= 1)) {
            throw new IllegalArgumentException(
                    "fleet: confirmations, indirect probers, gossip interval, retransmit multiplier, dead counted "
                            + "seconds or minimum counted share is out of range");
        }
    }
}
