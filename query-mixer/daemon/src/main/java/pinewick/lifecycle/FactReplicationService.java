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
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.pipeline.QueryRouter;

/** What this mixer and the others see of the searchers, put together with the decisions, the wire and the snapshot. */
final class FactReplicationService implements QueryRouter.PeerObservations {
    private final Loop loop;
    private final Log log;
    private final FactReplicator state;
    private final SnapshotFile file;
    private final double every;
    private final int self;
    private int size;
    private final Map<String, Integer> keys = new HashMap<>();
    private final Map<Integer, String> ids = new HashMap<>();
    /** Keys of several ids: nothing is told or taken of these. */
    private final Set<Integer> mixedUp = new HashSet<>();

    private double wroteAt;
    private boolean saidCaughtUp;
    private long spoilt;

    /** @param file null where no snapshot is kept */
    FactReplicationService(
            int size,
            int self,
            long seed,
            SnapshotFile file,
            double every,
            Loop loop,
            Log log,
            FactReplicator.Transport wire,
            IntPredicate takesPart) {
        this.loop = loop;
        this.log = log;
        this.file = file;
        this.every = every;
        this.self = self;
        this.size = size;
        state = new FactReplicator(
                size, self, FactReplicationSettings.defaults(), new SplittableRandom(seed), wire, takesPart);
    }

    void start() {
        state.start(loop.now()); // first, as the age of a snapshot's facts is told by its clock
        byte[] whole = file == null ? null : file.read();
        if (whole != null) {
            FactSnapshotFormat.Result read =
                    FactSnapshotFormat.read(whole, self, size, loop.now(), FactKind.LATENCY.maxAgeSeconds());
            read.facts().forEach(state::onFact);
            log.say(
                    read.rejection() == null ? Log.Level.INFO : Log.Level.WARNING,
                    "fleet",
                    read.rejection() == null
                            ? "snapshot: " + read.facts().size() + " facts"
                            : "snapshot refused: " + read.rejection() + "; asking the other mixers");
        }
        wroteAt = loop.now();
    }

    void tick() {
        state.tick(loop.now());
        if (!saidCaughtUp && !Double.isNaN(state.catchUpSeconds())) {
            saidCaughtUp = true;
            log.say(
                    Log.Level.INFO,
                    "fleet",
                    String.format(
                            java.util.Locale.ROOT,
                            "caught up with the other mixers after " + "%.2f s: %d facts",
                            state.catchUpSeconds(),
                            state.store().size()));
        }
        if (file != null && loop.now() - wroteAt >= every) {
            wroteAt = loop.now();
            file.write(FactSnapshotFormat.write(
                    self, size, loop.now(), state.store().all(-1)));
        }
    }

    void took(int place, byte[] datagram, int length) {
        spoilt += state.onDatagram(loop.now(), place, datagram, length) == null ? 0 : 1;
    }

    void listed(int mixers) {
        size = mixers;
        state.onMemberListChanged(mixers);
    }

    private int key(String searcher) {
        return keys.computeIfAbsent(searcher, id -> {
            int key = Fact.key(id);
            String other = ids.putIfAbsent(key, id);
            if (other != null && !other.equals(id)) {
                mixedUp.add(key);
            }
            return key;
        });
    }

    /** Searchers that a list named, be it an old one. */
    void knows(List<SchedulerHost.ReplicaEntry> listings) {
        listings.forEach(each -> key(each.replicaId()));
    }

    /** What the list says; those that leave are told to the others, whose own list may come later. */
    void list(List<SchedulerHost.ReplicaEntry> listings) {
        for (SchedulerHost.ReplicaEntry each : listings) {
            int key = key(each.replicaId());
            if (each.state() != SchedulerHost.LifecycleState.READY && !mixedUp.contains(key)) {
                state.recordObservation(
                        loop.now(),
                        key,
                        FactKind.LEAVING,
                        each.state() == SchedulerHost.LifecycleState.GONE ? 2 : 1,
                        0);
            }
        }
    }

    @Override
    public void saw(String searcher, double pace, double queue, int failures) {
        int key = key(searcher);
        if (!mixedUp.contains(key)) {
            state.recordWork(loop.now(), key, pace, queue, failures);
        }
    }

    @Override
    public double pace(String searcher) {
        int key = key(searcher);
        double pace = mixedUp.contains(key) ? Double.NaN : state.aggregator().latencySeconds(key, self, loop.now());
        return Double.isNaN(pace) ? 0 : pace;
    }

    @Override
    public boolean warn(String searcher, double since) {
        int key = key(searcher);
        return !mixedUp.contains(key)
                && (state.aggregator().isUnhealthy(key, self, loop.now(), since)
                        || state.aggregator().isLeaving(key, self, loop.now(), since));
    }

    String figures() {
        // What this mixer holds of each searcher, for comparing mixers: the others' pace, ms.
        List<String> paces = new ArrayList<>();
        List<String> warned = new ArrayList<>();
        keys.keySet().stream().sorted().limit(200).forEach(each -> {
            if (warn(each, loop.now() - FactKind.UNHEALTHY.maxAgeSeconds())) {
                warned.add(each);
            }
            double pace = pace(each);
            if (pace > 0) {
                paces.add(each + "=" + Math.round(pace * 1e3));
            }
        });
        return state.metrics() + "state-spoilt " + spoilt + "\nstate-paces " + String.join(",", paces)
                + "\nstate-warned " + String.join(",", warned) + "\n";
    }
}
