package pinewick.replication;

import java.util.random.RandomGenerator;

/** The settings and collaborators that the classes behind a {@link ReplicationNode} share. */
record ReplicationContext(
        ReplicationSettings settings,
        ActiveClock clock,
        DurableState durable,
        Peers peers,
        RequestIds requests,
        RandomGenerator random,
        ReplicationListener listener) {
    Member self() {
        return new Member(durable.identity(), settings.address());
    }

    double activeMs() {
        return clock.activeMs();
    }
}
