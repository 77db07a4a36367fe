package pinewick.core;

import java.util.LinkedHashSet;
import java.util.SplittableRandom;
import pinewick.selection.WindowedSum;

/** What all decisions of one router share: its deployment, its queries and replicas, and what it measured. */
final class RouterState {
    final SchedulerHost host;
    final SchedulerHost.Deployment deployment;
    final SplittableRandom random;
    /** The shortest latency goal of all grades, in seconds. */
    final double latencyGoal;

    final double openedAt;
    final ReplicaList replicas;
    final FleetStats fleet;
    /** Queries without a final answer, and those of them with parts that wait for their first launch. */
    final LinkedHashSet<Query> live = new LinkedHashSet<>();

    final LinkedHashSet<Query> held = new LinkedHashSet<>();
    /** Queries and parts taken, and further launches of parts: what budgets are counted against. */
    final WindowedSum taken = new WindowedSum();

    final WindowedSum relaunched = new WindowedSum();
    /** Routers that live, and those of them that may send. */
    int routers;

    int sendingRouters;
    double batchEndedAt;
    /** When a connection was last lost with work outstanding. */
    double connectionLostAt = Double.NEGATIVE_INFINITY;
    /** Goes up with whatever may change which holders have room. */
    long turn = 1;

    RouterState(SchedulerHost host, SchedulerHost.Deployment deployment, SplittableRandom random) {
        this.host = host;
        this.deployment = deployment;
        this.random = random;
        routers = deployment.routers();
        sendingRouters = deployment.routers();
        latencyGoal = deployment.grades().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::latencyGoal)
                .min()
                .orElse(1);
        replicas = new ReplicaList(deployment, id -> new Replica(id, this));
        fleet = new FleetStats(latencyGoal);
        openedAt = host.now();
        batchEndedAt = openedAt;
    }

    double now() {
        return host.now();
    }
}
