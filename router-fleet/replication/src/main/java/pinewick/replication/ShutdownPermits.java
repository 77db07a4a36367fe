package pinewick.replication;

import pinewick.replication.ReplicationMessages.ShutdownPermitted;

/**
 * Permits processes that are shutting down to end. Their stores are no longer needed once an established epoch does not
 * list them as in sync, the responsive members are a majority without them, and either
 *
 * <ul>
 *   <li>as many losses are tolerable without them as the deployment requires, so that a quorum survives if another disk
 *       is lost just as the process ends; or
 *   <li>no replacement is expected: no other store is in contact, and the wait for one is over.
 * </ul>
 *
 * A process that gets no permit ends when its grace period is nearly over. Control loop only.
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

    /** Sends the permits that are due, again at intervals while the processes run. */
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
