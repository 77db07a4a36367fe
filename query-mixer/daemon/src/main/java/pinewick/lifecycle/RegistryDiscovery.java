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

/** The list of searchers from a registry: view, session, wire and kept copy put together for one mixer. */
final class RegistryDiscovery {
    private static final double TICK = 0.02;

    private final Loop loop;
    private final Log log;
    private final OperatorConfig.Registry given;
    private final BiConsumer<ListText.Piece, SchedulerHost.ListUpdateKind> news;
    private final RegistryView view;
    private final RegistrySession session;
    private final RegistryWire wire;
    private final KeptFiles files;
    private final double startedAt;
    private final Members members;

    /** @param mixers is told how many mixers share the searchers, whenever that changes */
    RegistryDiscovery(
            OperatorConfig.Registry given,
            StartupConfig orders,
            Loop loop,
            Log log,
            BiConsumer<ListText.Piece, SchedulerHost.ListUpdateKind> news,
            IntConsumer mixers) {
        this.given = given;
        this.loop = loop;
        this.log = log;
        this.news = news;
        view = new RegistryView(given.prefix());
        SplittableRandom chance = new SplittableRandom(orders.seed());
        RegistryCalls calls = new RegistryCalls(loop, given.endpoints(), given.lineBytes());
        wire = new RegistryWire(
                loop,
                calls,
                given.prefix(),
                this::taken,
                text -> log.say(Log.Level.WARNING, "registry", text, "revision", Long.toString(view.revision())));
        RegistrySession.Terms usual =
                RegistrySession.Terms.usual(given.endpoints().size());
        RegistrySession.Terms terms = new RegistrySession.Terms(
                usual.endpoints(),
                given.pageKeys(),
                given.answer(),
                given.probeEvery(),
                usual.probeAnswer(),
                usual.owed(),
                usual.waitLeast(),
                usual.waitMost(),
                given.believe());
        session = new RegistrySession(given.prefix(), view, terms, wire, chance.split());
        members = given.mixersPrefix() == null ? null : new Members(calls, terms, orders, chance, mixers);
        files = given.kept() == null
                ? null
                : new KeptFiles(given.kept(), text -> log.say(Log.Level.WARNING, "registry", text));
        startedAt = loop.now();
    }

    /** Serves from the kept copy, marked old, until the registry tells more. */
    void start() {
        KeptCodec.Kept kept = files == null ? null : files.read();
        if (kept != null) {
            KeptCodec.into(kept, view);
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: " + view.stores().size() + " searchers from the kept copy at " + "revision "
                            + view.revision(),
                    "searchers",
                    Integer.toString(view.stores().size()),
                    "revision",
                    Long.toString(view.revision()));
            news.accept(piece(view.stores(), true), SchedulerHost.ListUpdateKind.CACHED);
        }
        wire.follow(session);
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
        return view.revision() > 0 && (session.caughtUp() || loop.now() - startedAt >= given.firstContact());
    }

    String figures() {
        return (members == null ? "" : members.figures())
                + session.figures().replaceAll("(?m)^", "registry-").replaceAll("registry-$", "");
    }

    /** This mixer's own key, and the count of all. */
    private final class Members {
        private final RegistryView shown = new RegistryView(given.mixersPrefix());
        private final RegistrySession follower;
        private final RegistryWire followerWire;
        private final LeaseKeeper keeper;
        private final LeaseWire keeperWire;
        private final MixerCount count;
        private final IntConsumer tell;
        private int told;

        Members(
                RegistryCalls calls,
                RegistrySession.Terms terms,
                StartupConfig orders,
                SplittableRandom chance,
                IntConsumer tell) {
            this.tell = tell;
            followerWire = new RegistryWire(
                    loop,
                    calls,
                    given.mixersPrefix(),
                    step -> {},
                    text -> log.say(Log.Level.WARNING, "registry", "mixers' " + text));
            follower = new RegistrySession(given.mixersPrefix(), shown, terms, followerWire, chance.split());
            String address =
                    orders.listen().getHostString() + ':' + orders.listen().getPort();
            keeperWire = new LeaseWire(
                    loop,
                    calls,
                    given.mixersPrefix() + orders.name() + '@' + address,
                    "{\"addresses\":[\"" + address + "\"]}");
            keeper = new LeaseKeeper(terms.endpoints(), given.lease(), given.answer(), keeperWire, chance.split());
            told = orders.deployment().routers();
            count = new MixerCount(told, loop.now(), given.lowerAfter());
        }

        void start() {
            followerWire.follow(follower);
            keeperWire.keeps(keeper);
        }

        void tick() {
            follower.tick(loop.now());
            keeper.tick(loop.now());
            if (follower.caughtUp()) {
                count.shown(loop.now(), shown.size());
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
                    + (keeper.held(loop.now()) ? 1 : 0) + "\n";
        }
    }

    private void taken(Step step) {
        step.wrong()
                .forEach(each -> log.say(
                        Log.Level.WARNING,
                        "registry",
                        "registry: " + each + "; its last good state holds",
                        "revision",
                        Long.toString(step.revision())));
        Collection<Store> told = step.whole() ? view.stores() : step.changed();
        if (step.whole() || !step.changed().isEmpty()) {
            news.accept(
                    piece(told, step.whole()),
                    step.whole() ? SchedulerHost.ListUpdateKind.FULL : SchedulerHost.ListUpdateKind.INCREMENTAL);
        }
        if (step.whole()) {
            log.say(
                    Log.Level.INFO,
                    "registry",
                    "registry: whole view at revision " + step.revision() + ", " + told.size() + " searchers, "
                            + step.vanished() + " gone",
                    "revision",
                    Long.toString(step.revision()),
                    "searchers",
                    Integer.toString(told.size()));
        }
        if (files != null) {
            if (step.whole() || files.wantsWhole()) {
                long revision = step.revision();
                var entries = view.entries();
                files.whole(() -> KeptCodec.whole(revision, entries));
            } else {
                files.changes(KeptCodec.changes(step.revision(), step.events()));
            }
        }
    }

    private ListText.Piece piece(Collection<Store> stores, boolean whole) {
        List<SchedulerHost.ReplicaEntry> listings = new ArrayList<>(stores.size());
        List<InetSocketAddress> addresses = new ArrayList<>(stores.size());
        for (Store each : stores) {
            try {
                addresses.add(ListText.address(each.addresses().get(0)));
                listings.add(each.listing());
            } catch (IllegalArgumentException odd) {
                // Danger: passing it over would also pass over its drain, and new parts would go to the old address.
                addresses.add(null);
                listings.add(new SchedulerHost.ReplicaEntry(
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
                        "registry: " + each.id() + ": addresses: " + odd.getMessage() + "; it is not used",
                        "searcher",
                        each.id());
            }
        }
        return new ListText.Piece(view.revision(), whole, listings, addresses);
    }
}
