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

/** Follows the replica list in a registry: connects the view, the watcher, the network and the cached copy. */
final class RegistryDiscovery {
    private static final double TICK_SECONDS = 0.02;

    private final EventLoop loop;
    private final Log log;
    private final OperatorConfig.Registry settings;
    private final BiConsumer<ReplicaListJson.Update, SchedulerHost.ListUpdateKind> listener;
    private final RegistryView view;
    private final PrefixWatcher watcher;
    private final RegistrySessionTransport transport;
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
        RegistryHttpClient httpClient = new RegistryHttpClient(loop, settings.endpoints(), settings.lineBytes());
        transport = new RegistrySessionTransport(
                loop,
                httpClient,
                settings.prefix(),
                this::onViewUpdate,
                text -> log.log(Log.Level.WARNING, "registry", text, "revision", Long.toString(view.revision())));
        PrefixWatcher.Settings defaults =
                PrefixWatcher.Settings.defaults(settings.endpoints().size());
        PrefixWatcher.Settings watcherSettings = new PrefixWatcher.Settings(
                defaults.endpointCount(),
                settings.pageKeys(),
                settings.answer(),
                settings.probeEvery(),
                defaults.probeTimeoutSeconds(),
                defaults.maxWatchLagSeconds(),
                defaults.minBackoffSeconds(),
                defaults.maxBackoffSeconds(),
                settings.believe());
        watcher = new PrefixWatcher(settings.prefix(), view, watcherSettings, transport, random.split());
        routers = settings.mixersPrefix() == null
                ? null
                : new RouterMembership(httpClient, watcherSettings, config, random, countListener);
        cache = settings.kept() == null
                ? null
                : new SnapshotFiles(settings.kept(), text -> log.log(Log.Level.WARNING, "registry", text));
        startedAt = loop.now();
    }

    /** Publishes the cached copy, marked as such, and starts following the registry. */
    void start() {
        SnapshotCodec.Snapshot cached = cache == null ? null : cache.readLatest();
        if (cached != null) {
            SnapshotCodec.restore(cached, view);
            log.log(
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
        transport.start(watcher);
        if (routers != null) {
            routers.start();
        }
        scheduleTick();
    }

    private void scheduleTick() {
        loop.after(TICK_SECONDS, "registry tick", () -> {
            watcher.tick(loop.now());
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
        return view.revision() > 0 && (watcher.isCaughtUp() || loop.now() - startedAt >= settings.firstContact());
    }

    String metrics() {
        return (routers == null ? "" : routers.metrics())
                + watcher.metrics().replaceAll("(?m)^", "registry-").replaceAll("registry-$", "");
    }

    /** Keeps this router's own key under a lease and counts the keys of all routers. */
    private final class RouterMembership {
        private final RegistryView routersView = new RegistryView(settings.mixersPrefix());
        private final PrefixWatcher routersWatcher;
        private final RegistrySessionTransport routersTransport;
        private final LeaseKeeper lease;
        private final RegistryLeaseTransport leaseTransport;
        private final MixerCount routerCount;
        private final IntConsumer countListener;
        private int reportedCount;

        RouterMembership(
                RegistryHttpClient httpClient,
                PrefixWatcher.Settings watcherSettings,
                StartupConfig config,
                SplittableRandom random,
                IntConsumer countListener) {
            this.countListener = countListener;
            routersTransport = new RegistrySessionTransport(
                    loop,
                    httpClient,
                    settings.mixersPrefix(),
                    update -> {},
                    text -> log.log(Log.Level.WARNING, "registry", "mixers' " + text));
            routersWatcher = new PrefixWatcher(
                    settings.mixersPrefix(), routersView, watcherSettings, routersTransport, random.split());
            String address =
                    config.listen().getHostString() + ':' + config.listen().getPort();
            leaseTransport = new RegistryLeaseTransport(
                    loop,
                    httpClient,
                    settings.mixersPrefix() + config.name() + '@' + address,
                    "{\"addresses\":[\"" + address + "\"]}");
            lease = new LeaseKeeper(
                    watcherSettings.endpointCount(),
                    settings.lease(),
                    settings.answer(),
                    leaseTransport,
                    random.split());
            reportedCount = config.deployment().routers();
            routerCount = new MixerCount(reportedCount, loop.now(), settings.lowerAfter());
        }

        void start() {
            routersTransport.start(routersWatcher);
            leaseTransport.start(lease);
        }

        void tick() {
            routersWatcher.tick(loop.now());
            lease.tick(loop.now());
            if (routersWatcher.isCaughtUp()) {
                routerCount.observe(loop.now(), routersView.size());
            }
            int currentCount = routerCount.count(loop.now());
            if (currentCount != reportedCount) {
                log.log(
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

    private void onViewUpdate(ViewUpdate update) {
        update.invalidValues()
                .forEach(each -> log.log(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each + "; its last good state holds",
                        "revision",
                        Long.toString(update.revision())));
        Collection<SearcherRecord> changed = update.full() ? view.searchers() : update.changed();
        if (update.full() || !update.changed().isEmpty()) {
            listener.accept(
                    toListUpdate(changed, update.full()),
                    update.full() ? SchedulerHost.ListUpdateKind.FULL : SchedulerHost.ListUpdateKind.INCREMENTAL);
        }
        if (update.full()) {
            log.log(
                    Log.Level.INFO,
                    "registry",
                    "registry: whole view at revision " + update.revision() + ", " + changed.size() + " searchers, "
                            + update.removedCount() + " gone",
                    "revision",
                    Long.toString(update.revision()),
                    "searchers",
                    Integer.toString(changed.size()));
        }
        if (cache != null) {
            if (update.full() || cache.needsSnapshot()) {
                long revision = update.revision();
                var entries = view.keyValues();
                cache.writeSnapshot(() -> SnapshotCodec.encodeSnapshot(revision, entries));
            } else {
                cache.appendChanges(SnapshotCodec.encodeChanges(update.revision(), update.events()));
            }
        }
    }

    private ReplicaListJson.Update toListUpdate(Collection<SearcherRecord> records, boolean isFull) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>(records.size());
        List<InetSocketAddress> addresses = new ArrayList<>(records.size());
        for (SearcherRecord each : records) {
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
                log.log(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each.id() + ": addresses: " + e.getMessage() + "; replica not used",
                        "searcher",
                        each.id());
            }
        }
        return new ReplicaListJson.Update(view.revision(), isFull, entries, addresses);
    }
}
