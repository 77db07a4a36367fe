package pinewick.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import pinewick.model.SocketAddress;

/**
 * Evaluates the followers for the primary of one epoch: which in-sync stores keep up, which have to stay in the in-sync
 * set although they are shutting down, and which other stores have caught up and could be added. {@link EpochPlanner}
 * makes the decisions. Control loop only.
 */
final class InSyncEvaluator {
    /**
     * An in-sync store that has had no contact, or has lacked the target state, for longer than this is to leave the
     * in-sync set.
     */
    private static final double UNRESPONSIVE_AFTER_MS = 600;

    /** How long to wait for a store to make contact that is to replace one that is shutting down. */
    private static final double REPLACEMENT_WAIT_MS = 300;

    /** The same wait if gossip knows of a controller that is not a member; it answers the primary within this time. */
    private static final double KNOWN_CONTROLLER_WAIT_MS = 1_500;

    private final ReplicationContext context;
    private final EpochRecord record;
    private final Followers followers;

    InSyncEvaluator(ReplicationContext context, EpochRecord record, Followers followers) {
        this.context = context;
        this.record = record;
        this.followers = followers;
    }

    /** Identities of the in-sync followers that answer, keep up and are not shutting down. */
    Set<String> responsiveFollowers() {
        return inSyncFollowers(follower -> isKeepingUp(follower) && !follower.isShuttingDown());
    }

    /**
     * Identities of the in-sync followers that the next epoch should retain: those that answer and keep up, including
     * those that are shutting down while {@link #retainsShuttingDown}.
     */
    Set<String> requiredFollowers() {
        return retainsShuttingDown() ? inSyncFollowers(this::isKeepingUp) : responsiveFollowers();
    }

    /**
     * Whether stores that are shutting down stay in the in-sync set: without them the responsive members are no
     * majority, or a store that can replace them may be about to join.
     */
    boolean retainsShuttingDown() {
        return !isMajorityResponsive() || isReplacementExpected();
    }

    /**
     * Whether a store that is not a member has recent contact, or may still make contact to replace a member that is
     * shutting down.
     */
    boolean isReplacementExpected() {
        double now = context.activeMs();
        double waitMs = isOtherControllerKnown() ? KNOWN_CONTROLLER_WAIT_MS : REPLACEMENT_WAIT_MS;
        boolean hasRecentShutdown = followers.all().stream()
                .anyMatch(follower -> follower.isShuttingDown() && follower.shuttingDownForMs(now) < waitMs);
        boolean hasCandidate = followers.all().stream()
                .anyMatch(follower -> !record.hasMember(follower.identity()) && isResponsive(follower));
        return hasRecentShutdown || hasCandidate;
    }

    /**
     * Whether gossip knows of a controller that is not a member and not shutting down. That controller may have ended
     * long ago.
     */
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

    /**
     * Whether this store and the responsive other members are a majority of the members; members that are shutting down
     * do not count as responsive.
     */
    boolean isMajorityResponsive() {
        List<Member> members = record.members();
        long others = members.stream()
                .map(member -> followers.find(member.identity()))
                .flatMap(Optional::stream)
                .filter(this::isResponsive)
                .count();
        return 2 * (1 + others) > members.size();
    }

    /** Whether a store had contact recently, its disk is healthy, and its process is not shutting down. */
    boolean isResponsive(Follower follower) {
        return follower.isHealthy() && follower.sinceContactMs(context.activeMs()) <= UNRESPONSIVE_AFTER_MS;
    }

    /**
     * Identities of the stores outside the in-sync set that could be added: healthy, with recent contact, and with the
     * target state on disk.
     */
    Set<String> inSyncCandidates(StateVersion targetVersion) {
        Set<String> identities = new HashSet<>();
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean isOutsideInSyncSet = !record.inSync().contains(follower.identity());
            if (isOutsideInSyncSet
                    && follower.isHealthy()
                    && follower.sinceContactMs(now) <= 2 * PrimaryEpoch.HEARTBEAT_INTERVAL_MS
                    && follower.stateVersion().equals(targetVersion)) {
                identities.add(follower.identity());
            }
        }
        return identities;
    }
}
