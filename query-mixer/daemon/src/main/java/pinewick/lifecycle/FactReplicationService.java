package pinewick.lifecycle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import pinewick.core.SchedulerHost;
import pinewick.fleet.state.Fact;
import pinewick.fleet.state.FactKind;
import pinewick.fleet.state.FactReplicationSettings;
import pinewick.fleet.state.FactReplicator;
import pinewick.fleet.state.FactSnapshotFormat;
import pinewick.loop.EventLoop;
import pinewick.loop.Log;
import pinewick.pipeline.QueryRouter;

/** Connects the replication of replica observations with the scheduler, the network and the snapshot file. */
final class FactReplicationService implements QueryRouter.PeerObservations {
    private final EventLoop loop;
    private final Log log;
    private final FactReplicator replicator;
    private final SnapshotFile snapshotFile;
    private final double snapshotIntervalSeconds;
    private final int self;
    private int memberCount;
    private final Map<String, Integer> keysById = new HashMap<>();
    private final Map<Integer, String> idsByKey = new HashMap<>();
    /** Keys shared by several replica ids: facts under these are neither sent nor used. */
    private final Set<Integer> ambiguousKeys = new HashSet<>();

    private double snapshotWrittenAt;
    private boolean isCatchUpLogged;
    private long malformedCount;

    /** @param snapshotFile null if no snapshot is kept */
    FactReplicationService(
            int memberCount,
            int self,
            long seed,
            SnapshotFile snapshotFile,
            double snapshotIntervalSeconds,
            EventLoop loop,
            Log log,
            FactReplicator.Transport transport,
            IntPredicate isParticipant) {
        this.loop = loop;
        this.log = log;
        this.snapshotFile = snapshotFile;
        this.snapshotIntervalSeconds = snapshotIntervalSeconds;
        this.self = self;
        this.memberCount = memberCount;
        replicator = new FactReplicator(
                memberCount,
                self,
                FactReplicationSettings.defaults(),
                new SplittableRandom(seed),
                transport,
                isParticipant);
    }

    /** Starts replication and loads the snapshot, if there is one. */
    void start() {
        replicator.start(loop.now()); // first: the ages of a snapshot's facts are relative to its clock
        byte[] snapshot = snapshotFile == null ? null : snapshotFile.read();
        if (snapshot != null) {
            FactSnapshotFormat.Result result =
                    FactSnapshotFormat.read(snapshot, self, memberCount, loop.now(), FactKind.LATENCY.maxAgeSeconds());
            result.facts().forEach(replicator::onFact);
            log.log(
                    result.rejection() == null ? Log.Level.INFO : Log.Level.WARNING,
                    "fleet",
                    result.rejection() == null
                            ? "snapshot: " + result.facts().size() + " facts"
                            : "snapshot refused: " + result.rejection() + "; asking the other mixers");
        }
        snapshotWrittenAt = loop.now();
    }

    void tick() {
        replicator.tick(loop.now());
        if (!isCatchUpLogged && !Double.isNaN(replicator.catchUpSeconds())) {
            isCatchUpLogged = true;
            log.log(
                    Log.Level.INFO,
                    "fleet",
                    String.format(
                            java.util.Locale.ROOT,
                            "caught up with the other mixers after " + "%.2f s: %d facts",
                            replicator.catchUpSeconds(),
                            replicator.store().size()));
        }
        if (snapshotFile != null && loop.now() - snapshotWrittenAt >= snapshotIntervalSeconds) {
            snapshotWrittenAt = loop.now();
            snapshotFile.write(FactSnapshotFormat.write(
                    self, memberCount, loop.now(), replicator.store().all(-1)));
        }
    }

    void onDatagram(int member, byte[] datagram, int length) {
        malformedCount += replicator.onDatagram(loop.now(), member, datagram, length) == null ? 0 : 1;
    }

    void onMemberListChanged(int members) {
        memberCount = members;
        replicator.onMemberListChanged(members);
    }

    private int key(String replicaId) {
        return keysById.computeIfAbsent(replicaId, id -> {
            int key = Fact.key(id);
            String other = idsByKey.putIfAbsent(key, id);
            if (other != null && !other.equals(id)) {
                ambiguousKeys.add(key);
            }
            return key;
        });
    }

    /** Registers the keys of replicas that a list names, even an outdated one. */
    void registerReplicas(List<SchedulerHost.ReplicaEntry> entries) {
        entries.forEach(each -> key(each.replicaId()));
    }

    /** Tells the other routers which replicas are leaving: their own list may be updated later. */
    void onReplicaListUpdate(List<SchedulerHost.ReplicaEntry> entries) {
        for (SchedulerHost.ReplicaEntry each : entries) {
            int key = key(each.replicaId());
            if (each.state() != SchedulerHost.LifecycleState.READY && !ambiguousKeys.contains(key)) {
                replicator.recordObservation(
                        loop.now(),
                        key,
                        FactKind.LEAVING,
                        each.state() == SchedulerHost.LifecycleState.GONE ? 2 : 1,
                        0);
            }
        }
    }

    @Override
    public void recordMeasurement(
            String replicaId, double latencySeconds, double queueLength, int consecutiveFailures) {
        int key = key(replicaId);
        if (!ambiguousKeys.contains(key)) {
            replicator.recordWork(loop.now(), key, latencySeconds, queueLength, consecutiveFailures);
        }
    }

    @Override
    public double latencySeconds(String replicaId) {
        int key = key(replicaId);
        double latencySeconds = ambiguousKeys.contains(key)
                ? Double.NaN
                : replicator.aggregator().latencySeconds(key, self, loop.now());
        return Double.isNaN(latencySeconds) ? 0 : latencySeconds;
    }

    @Override
    public boolean reportsFailure(String replicaId, double since) {
        int key = key(replicaId);
        return !ambiguousKeys.contains(key)
                && (replicator.aggregator().isUnhealthy(key, self, loop.now(), since)
                        || replicator.aggregator().isLeaving(key, self, loop.now(), since));
    }

    String metrics() {
        // The peers' latency (ms) and failures of each replica as this router sees them, to compare routers.
        List<String> latencies = new ArrayList<>();
        List<String> failing = new ArrayList<>();
        keysById.keySet().stream().sorted().limit(200).forEach(each -> {
            if (reportsFailure(each, loop.now() - FactKind.UNHEALTHY.maxAgeSeconds())) {
                failing.add(each);
            }
            double latencySeconds = latencySeconds(each);
            if (latencySeconds > 0) {
                latencies.add(each + "=" + Math.round(latencySeconds * 1e3));
            }
        });
        return replicator.metrics() + "state-spoilt " + malformedCount + "\nstate-paces " + String.join(",", latencies)
                + "\nstate-warned " + String.join(",", failing) + "\n";
    }
}
