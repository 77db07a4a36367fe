package pinewick.replication;

import pinewick.replication.ReplicationMessages.ShutdownPermitted;

/**
 * Tells stores whose processes are shutting down that the others no longer need them. A store is permitted to end once
 * it is not in sync by an established epoch, the other members are a majority, and either
 *
 * <ul>
 *   <li>as many losses are tolerable without it as the deployment requires, so that a disk lost at the moment of its
 *       end leaves a quorum; or
 *   <li>no store can take its place: none is known, and none has shown itself for long enough.
 * </ul>
 *
 * Without a permit the process ends when its grace period is nearly over. Control loop only.
 */
final class ShutdownPermits {
    private static final double RESEND_INTERVAL_MS = 200;

    private final ReplicationContext context;
    private final Followers followers;
    private final FaultToleranceMonitor toleranceMonitor;

    ShutdownPermits(ReplicationContext context, Followers followers, FaultToleranceMonitor toleranceMonitor) {
        this.context = context;
        this.followers = followers;
        this.toleranceMonitor = toleranceMonitor;
    }

    /** Something may have changed at the primary. */
    void update(PrimaryEpoch epoch) {
        if (followers.all().stream().noneMatch(Follower::isShuttingDown) || !isPermitted(epoch)) {
            return;
        }
        double now = context.activeMs();
        for (Follower follower : followers.all()) {
            boolean isNeeded = epoch.record().inSync().contains(follower.identity());
            if (follower.isShuttingDown() && !isNeeded && follower.sincePermitSentMs(now) >= RESEND_INTERVAL_MS) {
                follower.onPermitSent(now);
                context.peers()
                        .send(context.peers().addressOf(follower.member()), new ShutdownPermitted(epoch.number()));
            }
        }
    }

    private boolean isPermitted(PrimaryEpoch epoch) {
        InSyncEvaluator evaluator = epoch.inSyncEvaluator();
        return toleranceMonitor.isKnown(epoch)
                && evaluator.isMajorityResponsive()
                && (toleranceMonitor.isSufficient(epoch) || !evaluator.isReplacementExpected());
    }
}
