package pinewick.lifecycle;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Log;
import pinewick.protocol.RegistryHttpClient;
import pinewick.protocol.RegistryLeaseTransport;
import pinewick.protocol.RegistrySessionTransport;
import pinewick.protocol.ReplicaListJson;
import pinewick.registry.LeaseKeeper;
import pinewick.registry.MixerCount;
import pinewick.registry.PrefixWatcher;
import pinewick.registry.RegistryView;
import pinewick.registry.SearcherRecord;
import pinewick.registry.SnapshotCodec;
import pinewick.registry.SnapshotFiles;
import pinewick.registry.ViewUpdate;

/** Follows the replica list in a registry: connects the view, the session, the network and the cached copy. */
final class RegistryDiscovery {
    private static final double TICK_SECONDS = 0.02;

    private final EventLoop loop;
    private final Log log;
    private final OperatorConfig.Registry settings;
    private final BiConsumer<ReplicaListJson.Update, SchedulerHost.ListUpdateKind> listener;
    private final RegistryView view;
    private final PrefixWatcher session;
    private final RegistrySessionTransport wire;
    private final SnapshotFiles cache;
    private final double startedAt;
    private final RouterMembership routers;

    /** @param countListener gets the number of routers that share the replicas, whenever it changes */
    RegistryDiscovery(
            OperatorConfig.Registry settings,
            StartupConfig config,
            EventLoop loop,
            Log log,
            BiConsumer<ReplicaListJson.Update, SchedulerHost.ListUpdateKind> listener,
            IntConsumer countListener) {
        this.settings = settings;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        view = new RegistryView(settings.prefix());
        SplittableRandom random = new SplittableRandom(config.seed());
        RegistryHttpClient calls = new RegistryHttpClient(loop, settings.endpoints(), settings.lineBytes());
        wire = new RegistrySessionTransport(
                loop,
                calls,
                settings.prefix(),
                this::onStep,
                text -> log.say(Log.Level.WARNING, "registry", text, "revision", Long.toString(view.revision())));
        PrefixWatcher.Settings defaults =
                PrefixWatcher.Settings.defaults(settings.endpoints().size());
        PrefixWatcher.Settings terms = new PrefixWatcher.Settings(
                defaults.endpointCount(),
                settings.pageKeys(),
                settings.answer(),
                settings.probeEvery(),
                defaults.probeTimeoutSeconds(),
                defaults.maxWatchLagSeconds(),
                defaults.minBackoffSeconds(),
                defaults.maxBackoffSeconds(),
                settings.believe());
        session = new PrefixWatcher(settings.prefix(), view, terms, wire, random.split());
        routers = settings.mixersPrefix() == null
                ? null
                : new RouterMembership(calls, terms, config, random, countListener);
        cache = settings.kept() == null
                ? null
                : new SnapshotFiles(settings.kept(), text -> log.say(Log.Level.WARNING, "registry", text));
        startedAt = loop.now();
    }

    /** Publishes the cached copy, marked as such, and starts following the registry. */
    void start() {
        SnapshotCodec.Snapshot cached = cache == null ? null : cache.readLatest();
        if (cached != null) {
            SnapshotCodec.restore(cached, view);
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: " + view.searchers().size() + " searchers from the kept copy at " + "revision "
                            + view.revision(),
                    "searchers",
                    Integer.toString(view.searchers().size()),
                    "revision",
                    Long.toString(view.revision()));
            listener.accept(toListUpdate(view.searchers(), true), SchedulerHost.ListUpdateKind.CACHED);
        }
        wire.start(session);
        if (routers != null) {
            routers.start();
        }
        scheduleTick();
    }

    private void scheduleTick() {
        loop.after(TICK_SECONDS, "registry tick", () -> {
            session.tick(loop.now());
            if (routers != null) {
                routers.tick();
            }
            scheduleTick();
        });
    }

    /**
     * Whether there is a list to serve from. The cached copy lacks drains since it was written, so a start waits
     * briefly for the current state. The cost: while the registry is down a restart takes that much longer.
     */
    boolean canServe() {
        return view.revision() > 0 && (session.isCaughtUp() || loop.now() - startedAt >= settings.firstContact());
    }

    String metrics() {
        return (routers == null ? "" : routers.metrics())
                + session.metrics().replaceAll("(?m)^", "registry-").replaceAll("registry-$", "");
    }

    /** Keeps this router's own key under a lease and counts the keys of all routers. */
    private final class RouterMembership {
        private final RegistryView routersView = new RegistryView(settings.mixersPrefix());
        private final PrefixWatcher routersSession;
        private final RegistrySessionTransport routersWire;
        private final LeaseKeeper lease;
        private final RegistryLeaseTransport leaseWire;
        private final MixerCount count;
        private final IntConsumer countListener;
        private int reportedCount;

        RouterMembership(
                RegistryHttpClient calls,
                PrefixWatcher.Settings terms,
                StartupConfig config,
                SplittableRandom random,
                IntConsumer countListener) {
            this.countListener = countListener;
            routersWire = new RegistrySessionTransport(
                    loop,
                    calls,
                    settings.mixersPrefix(),
                    step -> {},
                    text -> log.say(Log.Level.WARNING, "registry", "mixers' " + text));
            routersSession =
                    new PrefixWatcher(settings.mixersPrefix(), routersView, terms, routersWire, random.split());
            String address =
                    config.listen().getHostString() + ':' + config.listen().getPort();
            leaseWire = new RegistryLeaseTransport(
                    loop,
                    calls,
                    settings.mixersPrefix() + config.name() + '@' + address,
                    "{\"addresses\":[\"" + address + "\"]}");
            lease = new LeaseKeeper(
                    terms.endpointCount(), settings.lease(), settings.answer(), leaseWire, random.split());
            reportedCount = config.deployment().routers();
            count = new MixerCount(reportedCount, loop.now(), settings.lowerAfter());
        }

        void start() {
            routersWire.start(routersSession);
            leaseWire.start(lease);
        }

        void tick() {
            routersSession.tick(loop.now());
            lease.tick(loop.now());
            if (routersSession.isCaughtUp()) {
                count.observe(loop.now(), routersView.size());
            }
            int currentCount = count.count(loop.now());
            if (currentCount != reportedCount) {
                log.say(
                        Log.Level.INFO,
                        "registry",
                        "registry: " + currentCount + " mixers, " + reportedCount + " previously",
                        "mixers",
                        Integer.toString(currentCount));
                reportedCount = currentCount;
                countListener.accept(currentCount);
            }
        }

        String metrics() {
            return "mixers-counted " + reportedCount + "\nmixers-shown " + routersView.size() + "\nown-key-held "
                    + (lease.isHeld(loop.now()) ? 1 : 0) + "\n";
        }
    }

    private void onStep(ViewUpdate step) {
        step.invalidValues()
                .forEach(each -> log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each + "; its last good state holds",
                        "revision",
                        Long.toString(step.revision())));
        Collection<SearcherRecord> changed = step.full() ? view.searchers() : step.changed();
        if (step.full() || !step.changed().isEmpty()) {
            listener.accept(
                    toListUpdate(changed, step.full()),
                    step.full() ? SchedulerHost.ListUpdateKind.FULL : SchedulerHost.ListUpdateKind.INCREMENTAL);
        }
        if (step.full()) {
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: whole view at revision " + step.revision() + ", " + changed.size() + " searchers, "
                            + step.removedCount() + " gone",
                    "revision",
                    Long.toString(step.revision()),
                    "searchers",
                    Integer.toString(changed.size()));
        }
        if (cache != null) {
            if (step.full() || cache.needsSnapshot()) {
                long revision = step.revision();
                var entries = view.keyValues();
                cache.writeSnapshot(() -> SnapshotCodec.encodeSnapshot(revision, entries));
            } else {
                cache.appendChanges(SnapshotCodec.encodeChanges(step.revision(), step.events()));
            }
        }
    }

    private ReplicaListJson.Update toListUpdate(Collection<SearcherRecord> stores, boolean whole) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>(stores.size());
        List<InetSocketAddress> addresses = new ArrayList<>(stores.size());
        for (SearcherRecord each : stores) {
            try {
                addresses.add(ReplicaListJson.address(each.addresses().get(0)));
                entries.add(each.toReplicaEntry());
            } catch (IllegalArgumentException e) {
                // Skipping the entry would also skip its drain, and new shard requests would go to the old address.
                addresses.add(null);
                entries.add(new SchedulerHost.ReplicaEntry(
                        each.id(),
                        each.cell(),
                        each.zone(),
                        each.state() == SchedulerHost.LifecycleState.READY
                                ? SchedulerHost.LifecycleState.GONE
                                : each.state(),
                        each.startedAtSeconds()));
                log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each.id() + ": addresses: " + e.getMessage() + "; replica not used",
                        "searcher",
                        each.id());
            }
        }
        return new ReplicaListJson.Update(view.revision(), whole, entries, addresses);
    }
}
