package pinewick.core;

import java.util.ArrayList;
import java.util.List;

/** Probes: of holders whose load reports are old, before a query starts, and of replicas after failures. */
final class ReplicaProber {
    // of the latency goal: reports; while held
    private static final double OLD = 0.1;
    private static final double AGAIN_AFTER = 0.2;
    private static final double LEAST_CHANCE = 0.3; // of probing an old report; more the busier replicas are
    private static final int MOST_HELD = 32; // queries; with more of them held none is probed for

    private final RouterState router;

    ReplicaProber(RouterState router) {
        this.router = router;
    }

    /** Probes two of each part's holders, by chance, where their reports are old: with many routers reports
     *  come rarely. Seldom while queues are short, as probes cost. True if the query should wait a moment. */
    boolean awaited(Query query) {
        double now = router.now();
        double wait = Replica.PROBE_WAIT * router.latencyGoal;
        boolean first = now <= query.takenAt + 2 * wait;
        boolean again = now >= query.probeAgainAt;
        if (!router.deployment.mayProbe()
                || (!first && !again)
                || router.held.size() > MOST_HELD
                || router.routers < 2 * Replica.FEW_ROUTERS) {
            return false;
        }
        query.probeAgainAt = again ? now + AGAIN_AFTER * router.latencyGoal : query.probeAgainAt;
        boolean waits = false;
        for (ShardRequest part : query.parts.values()) {
            List<Replica> fit = new ArrayList<>(router.replicas.holders(part));
            fit.removeIf(replica -> !replica.healthy() || replica.warmingUp());
            waits |= fit.stream().anyMatch(replica -> replica.probing && now < replica.probedAt + wait);
            if (again && (first || fit.stream().noneMatch(replica -> replica.hasRoom(1)))) {
                waits |= probeTwo(fit);
            }
        }
        return waits;
    }

    private boolean probeTwo(List<Replica> fit) {
        while (fit.size() > 2) {
            fit.remove(router.random.nextInt(fit.size()));
        }
        boolean sent = false;
        for (Replica replica : fit) {
            double age = router.now() - Math.max(replica.probedAt, replica.reportedAt);
            if (age > OLD * router.latencyGoal
                    && !replica.probing
                    && router.random.nextDouble() < LEAST_CHANCE + router.fleet.busy) {
                probe(replica);
                sent = true;
            }
        }
        return sent;
    }

    /** Probes a replica whose backoff is over. If all routers did, its limit would fail most, and prolong the
     *  backoff: so few of many probe, and the others try it with one part. */
    void probeAfterBackoff(Replica replica) {
        double few = 2 * Replica.FEW_ROUTERS;
        boolean useful =
                replica.stage == SchedulerHost.LifecycleState.READY && !replica.probing && !replica.warmingUp();
        if (useful
                && replica.failures > 0
                && router.now() >= replica.backoffUntil
                && !replica.trialAllowed
                && router.deployment.mayProbe()) {
            replica.trialAllowed = router.routers > few && router.random.nextDouble() >= few / router.routers;
            if (!replica.trialAllowed) {
                probe(replica);
            }
        }
    }

    private void probe(Replica replica) {
        replica.probeSent(router.now());
        router.host.probe(replica.id);
    }

    /** How a probe ended; one turned away by the replica's limit proves that it runs. */
    void ended(Replica replica, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        replica.probeEnded(ending);
        replica.reported(report);
        replica.trialAllowed = ending == SchedulerHost.Outcome.FULFILLED || ending == SchedulerHost.Outcome.REJECTED;
        if (!replica.trialAllowed) {
            replica.failed(ending);
        }
    }
}
