package pinewick.core;

import java.util.ArrayList;
import java.util.List;

/** Sends probes: to holders with stale load reports before a query starts, and to replicas after failures. */
final class ReplicaProber {
    // shares of the latency target: age of a stale report; interval for a pending query
    private static final double STALE_AFTER = 0.1;
    private static final double PROBE_AGAIN_AFTER = 0.2;
    private static final double MIN_PROBE_CHANCE = 0.3; // of probing a stale report; rises with the replicas' load
    private static final int MAX_PENDING = 32; // queries; with more of them pending, none triggers probes

    private final RouterState router;

    ReplicaProber(RouterState router) {
        this.router = router;
    }

    /**
     * Probes two random holders of each shard request where load reports are stale, since with many routers reports
     * arrive rarely. While queues are short probes are rare, as they cost work. Returns true if the query should wait
     * briefly for the results.
     */
    boolean isAwaitingProbe(Query query) {
        double now = router.now();
        double wait = Replica.PROBE_WAIT * router.latencyTargetSeconds;
        boolean first = now <= query.admittedAt + 2 * wait;
        boolean again = now >= query.probeAgainAt;
        if (!router.deployment.allowsProbes()
                || (!first && !again)
                || router.pendingQueries.size() > MAX_PENDING
                || router.routers < 2 * Replica.FEW_ROUTERS) {
            return false;
        }
        query.probeAgainAt = again ? now + PROBE_AGAIN_AFTER * router.latencyTargetSeconds : query.probeAgainAt;
        boolean waits = false;
        for (ShardRequest request : query.requests.values()) {
            List<Replica> candidates = new ArrayList<>(router.replicas.holders(request));
            candidates.removeIf(replica -> !replica.isHealthy() || replica.isWarmingUp());
            waits |= candidates.stream().anyMatch(replica -> replica.probeOutstanding && now < replica.probedAt + wait);
            if (again && (first || candidates.stream().noneMatch(replica -> replica.hasCapacity(1)))) {
                waits |= probeUpToTwo(candidates);
            }
        }
        return waits;
    }

    private boolean probeUpToTwo(List<Replica> candidates) {
        while (candidates.size() > 2) {
            candidates.remove(router.random.nextInt(candidates.size()));
        }
        boolean sent = false;
        for (Replica replica : candidates) {
            double age = router.now() - Math.max(replica.probedAt, replica.reportedAt);
            if (age > STALE_AFTER * router.latencyTargetSeconds
                    && !replica.probeOutstanding
                    && router.random.nextDouble() < MIN_PROBE_CHANCE + router.fleet.busy) {
                sendProbe(replica);
                sent = true;
            }
        }
        return sent;
    }

    /**
     * Probes a replica whose backoff has ended. If all routers did so, the replica's limit would reject most probes and
     * prolong the backoff; so only a few of many routers probe, and the others try it with one shard request.
     */
    void probeAfterBackoff(Replica replica) {
        double few = 2 * Replica.FEW_ROUTERS;
        boolean useful = replica.state == SchedulerHost.LifecycleState.READY
                && !replica.probeOutstanding
                && !replica.isWarmingUp();
        if (useful
                && replica.consecutiveFailures > 0
                && router.now() >= replica.backoffUntil
                && !replica.trialAllowed
                && router.deployment.allowsProbes()) {
            replica.trialAllowed = router.routers > few && router.random.nextDouble() >= few / router.routers;
            if (!replica.trialAllowed) {
                sendProbe(replica);
            }
        }
    }

    private void sendProbe(Replica replica) {
        replica.onProbeSent(router.now());
        router.host.sendProbe(replica.id);
    }

    /** Handles the outcome of a probe; a rejection by the replica's limit proves that the replica is running. */
    void onProbeEnd(Replica replica, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        replica.onProbeEnd(outcome);
        replica.onLoadReport(report);
        replica.trialAllowed = outcome == SchedulerHost.Outcome.FULFILLED || outcome == SchedulerHost.Outcome.REJECTED;
        if (!replica.trialAllowed) {
            replica.onFailure(outcome);
        }
    }
}
