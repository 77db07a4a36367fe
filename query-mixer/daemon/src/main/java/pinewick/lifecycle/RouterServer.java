package pinewick.lifecycle;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import pinewick.core.SchedulerHost;
import pinewick.fleet.MembershipSettings;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.wire.ListWatch;
import pinewick.wire.SearcherLink;

/** One mixer from its start to its end: rehearses, opens the door, follows the list, leaves in order. */
final class RouterServer {
    private StartupConfig orders;
    private ListWatch watch;
    private final OperatorConfig operator;
    private RegistryDiscovery registry;
    private MembershipService fleet;
    private long newest;
    private final Limits limits;
    private final Log log;
    private final Loop loop;
    private final ByteBufferPool buffers;
    private final XnioWorker worker;
    private RequestPipeline chain;
    private AcceptingChannel<StreamConnection> listener;
    private boolean listKnown;
    private boolean ready;
    private boolean leaving;

    /** @param operator null where nothing of it is on */
    RouterServer(StartupConfig orders, OperatorConfig operator, Log log) throws IOException {
        this.orders = orders;
        this.operator = operator;
        this.limits = orders.limits();
        this.log = log;
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .set(Options.WORKER_NAME, "pinewick")
                        .getMap());
        loop = new Loop(worker.getIoThread(), log);
        buffers = new DefaultByteBufferPool(true, limits.bufferBytes(), limits.buffersKept(), 4);
        loop.later(
                "rehearsing",
                () -> new PipelineWarmUp(orders, loop, buffers, () -> loop.later("starting", this::start)).start());
    }

    private void start() {
        chain = new RequestPipeline(orders.deployment(), limits, orders.seed(), loop, log, buffers, SearcherLink::dial);
        if (operator != null && operator.registry() != null) {
            registry = new RegistryDiscovery(
                    operator.registry(), orders, loop, log, chain::list, count -> chain.route.mixers(count, count));
            chain.alsoTells(this::figures);
            registry.start();
            awaitRegistry();
        } else {
            followPlatform();
        }
        joinFleet();
        housekeeping();
        ready();
        if (leaving) {
            leave();
        }
    }

    /** Where the platform lets mixers talk and the operator's file does not forbid it. */
    private void joinFleet() {
        MembershipSettings terms = operator == null ? MembershipSettings.defaults() : operator.fleet();
        if (orders.peers() == null || terms == null) {
            return;
        }
        try {
            fleet = new MembershipService(
                    orders.peers(),
                    terms,
                    operator == null ? null : operator.replicated(),
                    orders.seed(),
                    worker,
                    loop,
                    log,
                    registry == null ? chain.route::mixers : (live, most) -> {});
            chain.alsoTells(this::figures);
            fleet.start();
            if (fleet.state() != null) {
                chain.route.hears(fleet.state());
                fleet.state().knows(orders.known().listings());
                chain.listener(fleet.state()::list);
            }
        } catch (IOException wrong) {
            // Danger: without the other mixers this one serves all the same, as if the platform gave no such way.
            log.say(
                    Log.Level.ERROR,
                    "fleet",
                    "peer_listen: can't listen at " + orders.peers().listen() + ": " + wrong.getMessage()
                            + "; goes on without a view of the other mixers");
        }
    }

    private String figures() {
        return (fleet == null ? "" : fleet.figures()) + (registry == null ? "" : registry.figures());
    }

    /**
     * Danger: clients find an open door before it says that it is ready, and would be served by a kept copy that does
     * not know of drains since (seen: 64 ms of that at a restart). So the door opens when the list may be served by.
     */
    private void awaitRegistry() {
        if (leaving) {
            return;
        }
        if (registry.mayServe()) {
            listKnown = true;
            listen();
            ready();
        } else {
            loop.after(limits.housekeeping() / 10, "waiting for the registry", this::awaitRegistry);
        }
    }

    /**
     * Danger: the list in the configuration may be old, and what the agent holds counts as told from a process's first
     * moment; so the door opens when that was read, or when the agent can't be had and there is nothing to be told.
     * Harm: a start beside an agent that says nothing takes two tries longer.
     */
    private void followPlatform() {
        chain.list(orders.known(), SchedulerHost.ListUpdateKind.CACHED);
        watch = new ListWatch(
                orders.discovery(),
                loop,
                limits,
                log,
                buffers,
                orders.known().revision(),
                piece -> {
                    chain.list(
                            piece,
                            piece.whole()
                                    ? SchedulerHost.ListUpdateKind.FULL
                                    : SchedulerHost.ListUpdateKind.INCREMENTAL);
                    serveByList();
                },
                () -> {
                    if (orders.deployment().mustSubscribe()) {
                        chain.route.list(SchedulerHost.ListUpdateKind.FAILED, List.of());
                    }
                    if (watch.mayServeUnproven() && !orders.known().listings().isEmpty()) {
                        serveByList();
                    }
                });
        chain.looksAtList(watch::look);
        watch.open();
    }

    private void serveByList() {
        listKnown = true;
        if (listener == null && !leaving) {
            listen();
        }
        ready();
    }

    private void listen() {
        try {
            listener = worker.createStreamConnectionServer(
                    orders.listen(),
                    ChannelListeners.openListenerAdapter(chain.door),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, limits.backlog())
                            .set(Options.CONNECTION_HIGH_WATER, limits.clientSockets())
                            .set(Options.CONNECTION_LOW_WATER, limits.clientSockets() - 1)
                            .getMap());
            listener.resumeAccepts();
        } catch (IOException wrong) {
            log.say("EDGE_LISTEN: can't listen at " + orders.listen() + ": " + wrong.getMessage());
            log.drain(limits.lastLines());
            Runtime.getRuntime().halt(2);
        }
    }

    /** Ready once there is a list to choose from, be it an old one. */
    private void ready() {
        if (listKnown && !ready && !leaving && listener != null) {
            ready = true;
            chain.door.ready(true);
            log.say(
                    Log.Level.INFO,
                    "mixer",
                    "ready at " + orders.listen(),
                    "address",
                    orders.listen().toString());
        }
    }

    private void housekeeping() {
        loop.after(limits.housekeeping(), "housekeeping", () -> {
            chain.housekeeping();
            housekeeping();
        });
    }

    /**
     * A configuration that was read anew, the so-manieth; null where it could not be. The list is followed at its
     * address from now on; queries, connections and what the decisions learnt stay. Of two read at the same time
     * the one asked for last counts.
     */
    void reload(long number, StartupConfig read, String wrong) {
        loop.later("taking a new configuration", () -> {
            if (read == null) {
                log.say("SIGHUP: the configuration in hand stays: " + wrong);
                return;
            }
            if (number < newest) {
                return;
            }
            newest = number;
            String kept = String.join(", ", orders.needingRestart(read));
            log.say("SIGHUP: discovery at " + read.discovery()
                    + (kept.isEmpty() ? "" : "; changed, but only a restart takes in: " + kept));
            orders = orders.takes(read);
            if (watch != null) {
                watch.moveTo(read.discovery());
            }
            if (fleet != null) {
                fleet.listed(orders.peers());
            }
        });
    }

    /** Leaves in order: nothing that was taken stays without its answer. */
    void stop() {
        loop.later("stopping", () -> {
            if (!leaving) {
                leaving = true;
                if (chain != null) {
                    leave();
                }
            }
        });
    }

    private void leave() {
        log.say("stopping");
        double latest = loop.now() + limits.stopMost();
        chain.door.leaves(latest - limits.lastAnswer());
        if (fleet != null) {
            fleet.leave();
        }
        loop.after(limits.frontNotice(), "closing the door", () -> closeDoor(latest, -1));
    }

    /**
     * Danger: the listener's close resets the connections that the system has accepted for it and this program has not,
     * as after it stood still. So it closes once a look has found none (the library's own thread accepts; a time-out
     * gives it its turn). Harm: a crowd that goes on connecting holds the door open until half the time is up.
     */
    private void closeDoor(double latest, long accepted) {
        loop.timeOut(0, "closing the door", () -> {
            long now = chain.door.accepted();
            if (now != accepted && loop.now() < latest - limits.stopMost() / 2) {
                closeDoor(latest, now);
                return;
            }
            acceptTheLast();
            IoUtils.safeClose(listener);
            finish(latest);
        });
    }

    /** Takes what the library has accepted and not handed on yet. */
    private void acceptTheLast() {
        try {
            StreamConnection last = listener == null ? null : listener.accept();
            while (last != null) {
                chain.door.handleEvent(last);
                last = listener.accept();
            }
        } catch (IOException none) {
            log.say(Log.Level.WARNING, "mixer", "accepting the last connections: " + none.getMessage());
        }
    }

    /** Ends once nobody waits for an answer and every connection is closed, which its last bytes come before. */
    private void finish(double latest) {
        chain.door.closeIdle();
        if ((chain.queries.awaitingCount() == 0 && chain.door.connections() == 0) || loop.now() >= latest) {
            log.say("stopped; " + chain.figures().replace('\n', ';'));
            log.drain(limits.lastLines());
            Runtime.getRuntime().exit(0);
        }
        loop.after(limits.housekeeping() / 10, "ending", () -> finish(latest));
    }
}
