package pinewick.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import pinewick.model.SocketAddress;

/**
 * Judges, for the primary of one epoch, which followers can be relied on: who keeps up, who has to stay in the in-sync
 * set although it shuts down, and who has caught up and could be added. Decides nothing; {@link EpochPlanner} does.
 * Control loop only.
 */
final class InSyncEvaluator {
    /** An in-sync store without contact, or behind the target state, for longer is to leave the in-sync set. */
    private static final double UNRESPONSIVE_AFTER_MS = 600;

    /** A store that is to replace one that shuts down makes itself known within this time. */
    private static final double REPLACEMENT_WAIT_MS = 300;

    /** A controller that is known to run, and is no member, answers the primary within this time. */
    private static final double KNOWN_CONTROLLER_WAIT_MS = 1_500;

    private final ReplicationContext context;
    private final EpochRecord record;
    private final Followers followers;

    InSyncEvaluator(ReplicationContext context, EpochRecord record, Followers followers) {
        this.context = context;
        this.record = record;
        this.followers = followers;
    }

    /** In-sync followers that answer, keep up and are not shutting down. */
    Set<String> responsiveFollowers() {
        return inSyncFollowers(follower -> isKeepingUp(follower) && !follower.isShuttingDown());
    }

    /** The same, with those that are shutting down while they still have to be waited for. */
    Set<String> requiredFollowers() {
        return retainsShuttingDown() ? inSyncFollowers(this::isKeepingUp) : responsiveFollowers();
    }

    /**
     * Whether stores that are shutting down stay in sync: without them no majority of the members would be left, or a
     * store that can replace them may be about to join.
     */
    boolean retainsShuttingDown() {
        return !isMajorityResponsive() || isReplacementExpected();
    }

    /** Whether a store that is no member has shown itself, or may still do so. */
    boolean isReplacementExpected() {
        double now = context.activeMs();
        double waitMs = isOtherControllerKnown() ? KNOWN_CONTROLLER_WAIT_MS : REPLACEMENT_WAIT_MS;
        boolean hasRecentShutdown = followers.all().stream()
                .anyMatch(follower -> follower.isShuttingDown() && follower.shuttingDownForMs(now) < waitMs);
        boolean hasCandidate = followers.all().stream()
                .anyMatch(follower -> !record.hasMember(follower.identity()) && isResponsive(follower));
        return hasRecentShutdown || hasCandidate;
    }

    /** Whether gossip tells of a controller that is no member; it may have ended long ago. */
    private boolean isOtherControllerKnown() {
        Set<SocketAddress> others = context.peers().knownControllers();
        record.members().forEach(member -> others.remove(context.peers().addressOf(member)));
        followers.all().stream()
                .filter(Follower::isShuttingDown)
                .forEach(follower -> others.remove(context.peers().addressOf(follower.member())));
        return !others.isEmpty();
    }

    private Set<String> inSyncFollowers(Predicate<Follower> condition) {
        Set<String> identities = new HashSet<>();
        followers.withIdentities(record.inSync()).stream()
                .filter(condition)
                .forEach(follower -> identities.add(follower.identity()));
        return identities;
    }

    private boolean isKeepingUp(Follower follower) {
        double now = context.activeMs();
        return follower.isDiskHealthy()
                && follower.sinceContactMs(now) <= UNRESPONSIVE_AFTER_MS
                && follower.laggingMs(now) <= UNRESPONSIVE_AFTER_MS;
    }

    /** Whether this store and the responsive members are a majority; those that are shutting down do not count. */
    boolean isMajorityResponsive() {
        List<Member> members = record.members();
        long others = members.stream()
                .map(member -> followers.find(member.identity()))
                .flatMap(Optional::stream)
                .filter(this::isResponsive)
                .count();
        return 2 * (1 + others) > members.size();
    }

    /** Whether there was contact with a store recently, its disk is healthy, and it is not shutting down. */
    boolean isResponsive(Follower follower) {
        return follower.isHealthy() && follower.sinceContactMs(context.activeMs()) <= UNRESPONSIVE_AFTER_MS;
    }

    /** Stores outside the in-sync set that have the target state on disk. */
    Set<String> caughtUpOutsiders(StateVersion targetVersion) {
        Set<String> identities = new HashSet<>();
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean isOutside = !record.inSync().contains(follower.identity());
            if (isOutside
                    && follower.isHealthy()
                    && follower.sinceContactMs(now) <= 2 * PrimaryEpoch.HEARTBEAT_INTERVAL_MS
                    && follower.stateVersion().equals(targetVersion)) {
                identities.add(follower.identity());
            }
        }
        return identities;
    }
}
