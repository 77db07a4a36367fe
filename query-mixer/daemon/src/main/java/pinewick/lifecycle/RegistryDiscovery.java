package pinewick.lifecycle;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import pinewick.core.SchedulerHost;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.registry.KeptCodec;
import pinewick.registry.KeptFiles;
import pinewick.registry.LeaseKeeper;
import pinewick.registry.MixerCount;
import pinewick.registry.RegistrySession;
import pinewick.registry.RegistryView;
import pinewick.registry.Step;
import pinewick.registry.Store;
import pinewick.wire.LeaseWire;
import pinewick.wire.ListText;
import pinewick.wire.RegistryCalls;
import pinewick.wire.RegistryWire;

/** Follows the replica list in a registry: connects the view, the session, the network and the cached copy. */
final class RegistryDiscovery {
    private static final double TICK_SECONDS = 0.02;

    private final Loop loop;
    private final Log log;
    private final OperatorConfig.Registry settings;
    private final BiConsumer<ListText.Piece, SchedulerHost.ListUpdateKind> listener;
    private final RegistryView view;
    private final RegistrySession session;
    private final RegistryWire wire;
    private final KeptFiles cache;
    private final double startedAt;
    private final RouterMembership routers;

    /** @param countListener gets the number of routers that share the replicas, whenever it changes */
    RegistryDiscovery(
            OperatorConfig.Registry settings,
            StartupConfig config,
            Loop loop,
            Log log,
            BiConsumer<ListText.Piece, SchedulerHost.ListUpdateKind> listener,
            IntConsumer countListener) {
        this.settings = settings;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        view = new RegistryView(settings.prefix());
        SplittableRandom random = new SplittableRandom(config.seed());
        RegistryCalls calls = new RegistryCalls(loop, settings.endpoints(), settings.lineBytes());
        wire = new RegistryWire(
                loop,
                calls,
                settings.prefix(),
                this::onStep,
                text -> log.say(Log.Level.WARNING, "registry", text, "revision", Long.toString(view.revision())));
        RegistrySession.Terms defaults =
                RegistrySession.Terms.usual(settings.endpoints().size());
        RegistrySession.Terms terms = new RegistrySession.Terms(
                defaults.endpoints(),
                settings.pageKeys(),
                settings.answer(),
                settings.probeEvery(),
                defaults.probeAnswer(),
                defaults.owed(),
                defaults.waitLeast(),
                defaults.waitMost(),
                settings.believe());
        session = new RegistrySession(settings.prefix(), view, terms, wire, random.split());
        routers = settings.mixersPrefix() == null
                ? null
                : new RouterMembership(calls, terms, config, random, countListener);
        cache = settings.kept() == null
                ? null
                : new KeptFiles(settings.kept(), text -> log.say(Log.Level.WARNING, "registry", text));
        startedAt = loop.now();
    }

    /** Publishes the cached copy, marked as such, and starts following the registry. */
    void start() {
        KeptCodec.Kept cached = cache == null ? null : cache.read();
        if (cached != null) {
            KeptCodec.into(cached, view);
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: " + view.stores().size() + " searchers from the kept copy at " + "revision "
                            + view.revision(),
                    "searchers",
                    Integer.toString(view.stores().size()),
                    "revision",
                    Long.toString(view.revision()));
            listener.accept(toListUpdate(view.stores(), true), SchedulerHost.ListUpdateKind.CACHED);
        }
        wire.follow(session);
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
        return view.revision() > 0 && (session.caughtUp() || loop.now() - startedAt >= settings.firstContact());
    }

    String metrics() {
        return (routers == null ? "" : routers.metrics())
                + session.figures().replaceAll("(?m)^", "registry-").replaceAll("registry-$", "");
    }

    /** Keeps this router's own key under a lease and counts the keys of all routers. */
    private final class RouterMembership {
        private final RegistryView routersView = new RegistryView(settings.mixersPrefix());
        private final RegistrySession routersSession;
        private final RegistryWire routersWire;
        private final LeaseKeeper lease;
        private final LeaseWire leaseWire;
        private final MixerCount count;
        private final IntConsumer countListener;
        private int reportedCount;

        RouterMembership(
                RegistryCalls calls,
                RegistrySession.Terms terms,
                StartupConfig config,
                SplittableRandom random,
                IntConsumer countListener) {
            this.countListener = countListener;
            routersWire = new RegistryWire(
                    loop,
                    calls,
                    settings.mixersPrefix(),
                    step -> {},
                    text -> log.say(Log.Level.WARNING, "registry", "mixers' " + text));
            routersSession =
                    new RegistrySession(settings.mixersPrefix(), routersView, terms, routersWire, random.split());
            String address =
                    config.listen().getHostString() + ':' + config.listen().getPort();
            leaseWire = new LeaseWire(
                    loop,
                    calls,
                    settings.mixersPrefix() + config.name() + '@' + address,
                    "{\"addresses\":[\"" + address + "\"]}");
            lease = new LeaseKeeper(terms.endpoints(), settings.lease(), settings.answer(), leaseWire, random.split());
            reportedCount = config.deployment().routers();
            count = new MixerCount(reportedCount, loop.now(), settings.lowerAfter());
        }

        void start() {
            routersWire.follow(routersSession);
            leaseWire.keeps(lease);
        }

        void tick() {
            routersSession.tick(loop.now());
            lease.tick(loop.now());
            if (routersSession.caughtUp()) {
                count.shown(loop.now(), routersView.size());
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
                    + (lease.held(loop.now()) ? 1 : 0) + "\n";
        }
    }

    private void onStep(Step step) {
        step.wrong()
                .forEach(each -> log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each + "; its last good state holds",
                        "revision",
                        Long.toString(step.revision())));
        Collection<Store> changed = step.whole() ? view.stores() : step.changed();
        if (step.whole() || !step.changed().isEmpty()) {
            listener.accept(
                    toListUpdate(changed, step.whole()),
                    step.whole() ? SchedulerHost.ListUpdateKind.FULL : SchedulerHost.ListUpdateKind.INCREMENTAL);
        }
        if (step.whole()) {
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: whole view at revision " + step.revision() + ", " + changed.size() + " searchers, "
                            + step.vanished() + " gone",
                    "revision",
                    Long.toString(step.revision()),
                    "searchers",
                    Integer.toString(changed.size()));
        }
        if (cache != null) {
            if (step.whole() || cache.wantsWhole()) {
                long revision = step.revision();
                var entries = view.entries();
                cache.whole(() -> KeptCodec.whole(revision, entries));
            } else {
                cache.changes(KeptCodec.changes(step.revision(), step.events()));
            }
        }
    }

    private ListText.Piece toListUpdate(Collection<Store> stores, boolean whole) {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>(stores.size());
        List<InetSocketAddress> addresses = new ArrayList<>(stores.size());
        for (Store each : stores) {
            try {
                addresses.add(ListText.address(each.addresses().get(0)));
                entries.add(each.listing());
            } catch (IllegalArgumentException e) {
                // Skipping the entry would also skip its drain, and new shard requests would go to the old address.
                addresses.add(null);
                entries.add(new SchedulerHost.ReplicaEntry(
                        each.id(),
                        each.cell(),
                        each.zone(),
                        each.stage() == SchedulerHost.LifecycleState.READY
                                ? SchedulerHost.LifecycleState.GONE
                                : each.stage(),
                        each.startedAt()));
                log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each.id() + ": addresses: " + e.getMessage() + "; replica not used",
                        "searcher",
                        each.id());
            }
        }
        return new ListText.Piece(view.revision(), whole, entries, addresses);
    }
}
