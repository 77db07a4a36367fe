package pinewick.core;

import java.util.LinkedHashSet;
import java.util.SplittableRandom;
import pinewick.selection.WindowedSum;

/** The state that all decisions of one router share: deployment, queries, replicas and measurements. */
final class RouterState {
    final SchedulerHost host;
    final SchedulerHost.Deployment deployment;
    final SplittableRandom random;
    /** The shortest latency target of all service classes. */
    final double latencyTargetSeconds;

    final double createdAt;
    final ReplicaList replicas;
    final FleetStats fleet;
    /** Queries without a final answer, and those of them with shard requests that wait for their first attempt. */
    final LinkedHashSet<Query> activeQueries = new LinkedHashSet<>();

    final LinkedHashSet<Query> pendingQueries = new LinkedHashSet<>();
    /** Queries and shard requests admitted, and further attempts: the base of retry budgets. */
    final WindowedSum admitted = new WindowedSum();

    final WindowedSum reattempts = new WindowedSum();
    /** Live routers, and those of them that may send. */
    int routers;

    int sendingRouters;
    double batchEndedAt;
    /** When a connection was last lost with attempts outstanding. */
    double connectionLostAt = Double.NEGATIVE_INFINITY;
    /** Incremented on every event that may change which holders have capacity. */
    long capacityVersion = 1;

    RouterState(SchedulerHost host, SchedulerHost.Deployment deployment, SplittableRandom random) {
        this.host = host;
        this.deployment = deployment;
        this.random = random;
        routers = deployment.routers();
        sendingRouters = deployment.routers();
        latencyTargetSeconds = deployment.serviceClasses().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::latencyTargetSeconds)
                .min()
                .orElse(1);
        replicas = new ReplicaList(deployment, id -> new Replica(id, this));
        fleet = new FleetStats(latencyTargetSeconds);
        createdAt = host.now();
        batchEndedAt = createdAt;
    }

    double now() {
        return host.now();
    }
}
