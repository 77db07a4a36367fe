package pinewick.life;

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

/** The list of searchers from a registry: view, session, wire and kept copy put together for one mixer. */
final class RegistryList {
    private static final double TICK = 0.02;

    private final EventLoop loop;
    private final Log log;
    private final OperatorFile.Registry given;
    private final BiConsumer<ReplicaListJson.Update, SchedulerHost.ListUpdateKind> news;
    private final RegistryView view;
    private final PrefixWatcher session;
    private final RegistrySessionTransport wire;
    private final SnapshotFiles files;
    private final double startedAt;
    private final Members members;

    /** @param mixers is told how many mixers share the searchers, whenever that changes */
    RegistryList(
            OperatorFile.Registry given,
            StartOrders orders,
            EventLoop loop,
            Log log,
            BiConsumer<ReplicaListJson.Update, SchedulerHost.ListUpdateKind> news,
            IntConsumer mixers) {
        this.given = given;
        this.loop = loop;
        this.log = log;
        this.news = news;
        view = new RegistryView(given.prefix());
        SplittableRandom chance = new SplittableRandom(orders.seed());
        RegistryHttpClient calls = new RegistryHttpClient(loop, given.endpoints(), given.lineBytes());
        wire = new RegistrySessionTransport(
                loop,
                calls,
                given.prefix(),
                this::taken,
                text -> log.say(Log.Level.WARNING, "registry", text, "revision", Long.toString(view.revision())));
        PrefixWatcher.Settings usual =
                PrefixWatcher.Settings.defaults(given.endpoints().size());
        PrefixWatcher.Settings terms = new PrefixWatcher.Settings(
                usual.endpointCount(),
                given.pageKeys(),
                given.answer(),
                given.probeEvery(),
                usual.probeTimeoutSeconds(),
                usual.maxWatchLagSeconds(),
                usual.minBackoffSeconds(),
                usual.maxBackoffSeconds(),
                given.believe());
        session = new PrefixWatcher(given.prefix(), view, terms, wire, chance.split());
        members = given.mixersPrefix() == null ? null : new Members(calls, terms, orders, chance, mixers);
        files = given.kept() == null
                ? null
                : new SnapshotFiles(given.kept(), text -> log.say(Log.Level.WARNING, "registry", text));
        startedAt = loop.now();
    }

    /** Serves from the kept copy, marked old, until the registry tells more. */
    void start() {
        SnapshotCodec.Snapshot kept = files == null ? null : files.readLatest();
        if (kept != null) {
            SnapshotCodec.restore(kept, view);
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: " + view.searchers().size() + " searchers from the kept copy at " + "revision "
                            + view.revision(),
                    "searchers",
                    Integer.toString(view.searchers().size()),
                    "revision",
                    Long.toString(view.revision()));
            news.accept(piece(view.searchers(), true), SchedulerHost.ListUpdateKind.CACHED);
        }
        wire.start(session);
        if (members != null) {
            members.start();
        }
        ticks();
    }

    private void ticks() {
        loop.after(TICK, "following the registry", () -> {
            session.tick(loop.now());
            if (members != null) {
                members.tick();
            }
            ticks();
        });
    }

    /**
     * Whether there is a list to serve by. Danger: a kept copy does not know of drains since; so a start waits a moment
     * for the registry's newest. Harm: with the registry down a restart takes that much longer.
     */
    boolean mayServe() {
        return view.revision() > 0 && (session.isCaughtUp() || loop.now() - startedAt >= given.firstContact());
    }

    String figures() {
        return (members == null ? "" : members.figures())
                + session.metrics().replaceAll("(?m)^", "registry-").replaceAll("registry-$", "");
    }

    /** This mixer's own key, and the count of all. */
    private final class Members {
        private final RegistryView shown = new RegistryView(given.mixersPrefix());
        private final PrefixWatcher follower;
        private final RegistrySessionTransport followerWire;
        private final LeaseKeeper keeper;
        private final RegistryLeaseTransport keeperWire;
        private final MixerCount count;
        private final IntConsumer tell;
        private int told;

        Members(
                RegistryHttpClient calls,
                PrefixWatcher.Settings terms,
                StartOrders orders,
                SplittableRandom chance,
                IntConsumer tell) {
            this.tell = tell;
            followerWire = new RegistrySessionTransport(
                    loop,
                    calls,
                    given.mixersPrefix(),
                    step -> {},
                    text -> log.say(Log.Level.WARNING, "registry", "mixers' " + text));
            follower = new PrefixWatcher(given.mixersPrefix(), shown, terms, followerWire, chance.split());
            String address =
                    orders.listen().getHostString() + ':' + orders.listen().getPort();
            keeperWire = new RegistryLeaseTransport(
                    loop,
                    calls,
                    given.mixersPrefix() + orders.name() + '@' + address,
                    "{\"addresses\":[\"" + address + "\"]}");
            keeper = new LeaseKeeper(terms.endpointCount(), given.lease(), given.answer(), keeperWire, chance.split());
            told = orders.deployment().routers();
            count = new MixerCount(told, loop.now(), given.lowerAfter());
        }

        void start() {
            followerWire.start(follower);
            keeperWire.start(keeper);
        }

        void tick() {
            follower.tick(loop.now());
            keeper.tick(loop.now());
            if (follower.isCaughtUp()) {
                count.observe(loop.now(), shown.size());
            }
            int now = count.count(loop.now());
            if (now != told) {
                log.say(
                        Log.Level.INFO,
                        "registry",
                        "registry: " + now + " mixers, " + told + " before",
                        "mixers",
                        Integer.toString(now));
                told = now;
                tell.accept(now);
            }
        }

        String figures() {
            return "mixers-counted " + told + "\nmixers-shown " + shown.size() + "\nown-key-held "
                    + (keeper.isHeld(loop.now()) ? 1 : 0) + "\n";
        }
    }

    private void taken(ViewUpdate step) {
        step.invalidValues()
                .forEach(each -> log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each + "; its last good state holds",
                        "revision",
                        Long.toString(step.revision())));
        Collection<SearcherRecord> told = step.full() ? view.searchers() : step.changed();
        if (step.full() || !step.changed().isEmpty()) {
            news.accept(
                    piece(told, step.full()),
                    step.full() ? SchedulerHost.ListUpdateKind.FULL : SchedulerHost.ListUpdateKind.INCREMENTAL);
        }
        if (step.full()) {
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: whole view at revision " + step.revision() + ", " + told.size() + " searchers, "
                            + step.removedCount() + " gone",
                    "revision",
                    Long.toString(step.revision()),
                    "searchers",
                    Integer.toString(told.size()));
        }
        if (files != null) {
            if (step.full() || files.needsSnapshot()) {
                long revision = step.revision();
                var entries = view.keyValues();
                files.writeSnapshot(() -> SnapshotCodec.encodeSnapshot(revision, entries));
            } else {
                files.appendChanges(SnapshotCodec.encodeChanges(step.revision(), step.events()));
            }
        }
    }

    private ReplicaListJson.Update piece(Collection<SearcherRecord> stores, boolean whole) {
        List<SchedulerHost.ReplicaEntry> listings = new ArrayList<>(stores.size());
        List<InetSocketAddress> addresses = new ArrayList<>(stores.size());
        for (SearcherRecord each : stores) {
            try {
                addresses.add(ReplicaListJson.address(each.addresses().get(0)));
                listings.add(each.toReplicaEntry());
            } catch (IllegalArgumentException odd) {
                // Danger: passing it over would also pass over its drain, and new parts would go to the old address.
                addresses.add(null);
                listings.add(new SchedulerHost.ReplicaEntry(
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
                        "registry: " + each.id() + ": addresses: " + odd.getMessage() + "; it is not used",
                        "searcher",
                        each.id());
            }
        }
        return new ReplicaListJson.Update(view.revision(), whole, listings, addresses);
    }
}
