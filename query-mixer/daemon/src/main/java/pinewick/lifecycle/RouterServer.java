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
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.protocol.ReplicaListWatch;
import pinewick.protocol.TcpReplicaConnection;

/** Runs one router from start to stop: warms up, follows the replica list, listens, and shuts down gracefully. */
final class RouterServer {
    private StartupConfig config;
    private ReplicaListWatch listWatch;
    private final OperatorConfig operatorConfig;
    private RegistryDiscovery registryDiscovery;
    private MembershipService membership;
    private long latestReload;
    private final Limits limits;
    private final Log log;
    private final EventLoop loop;
    private final ByteBufferPool buffers;
    private final XnioWorker worker;
    private RequestPipeline pipeline;
    private AcceptingChannel<StreamConnection> listener;
    private boolean hasReplicaList;
    private boolean isReady;
    private boolean isStopping;

    /** @param operatorConfig null without an operator's file */
    RouterServer(StartupConfig config, OperatorConfig operatorConfig, Log log) throws IOException {
        this.config = config;
        this.operatorConfig = operatorConfig;
        this.limits = config.limits();
        this.log = log;
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .set(Options.WORKER_NAME, "pinewick")
                        .getMap());
        loop = new EventLoop(worker.getIoThread(), log);
        buffers = new DefaultByteBufferPool(true, limits.bufferBytes(), limits.maxPooledBuffers(), 4);
        loop.later(
                "rehearsing",
                () -> new PipelineWarmUp(config, loop, buffers, () -> loop.later("starting", this::start)).start());
    }

    private void start() {
        pipeline = new RequestPipeline(
                config.deployment(), limits, config.seed(), loop, log, buffers, TcpReplicaConnection::connect);
        if (operatorConfig != null && operatorConfig.registry() != null) {
            registryDiscovery = new RegistryDiscovery(
                    operatorConfig.registry(),
                    config,
                    loop,
                    log,
                    pipeline::onReplicaListUpdate,
                    count -> pipeline.router.updateRouterCount(count, count));
            pipeline.setExtraMetrics(this::metrics);
            registryDiscovery.start();
            awaitRegistry();
        } else {
            followDiscovery();
        }
        joinMembership();
        housekeeping();
        reportReady();
        if (isStopping) {
            shutDown();
        }
    }

    /** Joins the membership if the platform lets routers talk and the operator's file does not turn it off. */
    private void joinMembership() {
        MembershipSettings settings =
                operatorConfig == null ? MembershipSettings.defaults() : operatorConfig.membership();
        if (config.peers() == null || settings == null) {
            return;
        }
        try {
            membership = new MembershipService(
                    config.peers(),
                    settings,
                    operatorConfig == null ? null : operatorConfig.replication(),
                    config.seed(),
                    worker,
                    loop,
                    log,
                    registryDiscovery == null ? pipeline.router::updateRouterCount : (live, sending) -> {});
            pipeline.setExtraMetrics(this::metrics);
            membership.start();
            if (membership.facts() != null) {
                pipeline.router.setPeerObservations(membership.facts());
                membership.facts().registerReplicas(config.knownReplicas().entries());
                pipeline.setListListener(membership.facts()::onReplicaListUpdate);
            }
        } catch (IOException e) {
            // Without the other routers this one still serves, as if the platform did not let routers talk.
            log.log(
                    Log.Level.ERROR,
                    "fleet",
                    "peer_listen: can't listen at " + config.peers().listen() + ": " + e.getMessage()
                            + "; continuing without a view of the other mixers");
        }
    }

    private String metrics() {
        return (membership == null ? "" : membership.metrics())
                + (registryDiscovery == null ? "" : registryDiscovery.metrics());
    }

    /**
     * Listens only once the replica list may be used: clients find an open port before the router reports that it is
     * ready, and would be served from a cached copy that lacks recent drains (seen for 64 ms at a restart).
     */
    private void awaitRegistry() {
        if (isStopping) {
            return;
        }
        if (registryDiscovery.canServe()) {
            hasReplicaList = true;
            listen();
            reportReady();
        } else {
            loop.after(limits.housekeepingIntervalSeconds() / 10, "waiting for the registry", this::awaitRegistry);
        }
    }

    /**
     * Follows the platform's discovery. The list in the configuration may be outdated, and the agent's list counts as
     * known from the start of the process. So the router listens only after it has read that list, or after the agent
     * proved unreachable. The cost: a start with a silent agent takes two attempts longer.
     */
    private void followDiscovery() {
        pipeline.onReplicaListUpdate(config.knownReplicas(), SchedulerHost.ListUpdateKind.CACHED);
        listWatch = new ReplicaListWatch(
                config.discovery(),
                loop,
                limits,
                log,
                buffers,
                config.knownReplicas().revision(),
                update -> {
                    pipeline.onReplicaListUpdate(
                            update,
                            update.isFull()
                                    ? SchedulerHost.ListUpdateKind.FULL
                                    : SchedulerHost.ListUpdateKind.INCREMENTAL);
                    serve();
                },
                () -> {
                    if (config.deployment().mustSubscribe()) {
                        pipeline.router.onReplicaListUpdate(SchedulerHost.ListUpdateKind.FAILED, List.of());
                    }
                    if (listWatch.canServeUnconfirmed()
                            && !config.knownReplicas().entries().isEmpty()) {
                        serve();
                    }
                });
        pipeline.setListReader(listWatch::readAvailable);
        listWatch.start();
    }

    private void serve() {
        hasReplicaList = true;
        if (listener == null && !isStopping) {
            listen();
        }
        reportReady();
    }

    private void listen() {
        try {
            listener = worker.createStreamConnectionServer(
                    config.listen(),
                    ChannelListeners.openListenerAdapter(pipeline.clientListener),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, limits.backlog())
                            .set(Options.CONNECTION_HIGH_WATER, limits.maxClientConnections())
                            .set(Options.CONNECTION_LOW_WATER, limits.maxClientConnections() - 1)
                            .getMap());
            listener.resumeAccepts();
        } catch (IOException e) {
            log.log("EDGE_LISTEN: can't listen at " + config.listen() + ": " + e.getMessage());
            log.drain(limits.logDrainSeconds());
            Runtime.getRuntime().halt(2);
        }
    }

    /** Reports that the router is ready, once it has a replica list, even an outdated one. */
    private void reportReady() {
        if (hasReplicaList && !isReady && !isStopping && listener != null) {
            isReady = true;
            pipeline.clientListener.setReady(true);
            log.log(
                    Log.Level.INFO,
                    "mixer",
                    "ready at " + config.listen(),
                    "address",
                    config.listen().toString());
        }
    }

    private void housekeeping() {
        loop.after(limits.housekeepingIntervalSeconds(), "housekeeping", () -> {
            pipeline.housekeeping();
            housekeeping();
        });
    }

    /**
     * Applies a reloaded configuration, null if it could not be read. The replica list is followed at its address from
     * now on; queries, connections and the scheduler's state stay. Of reloads that overlap, the one with the highest
     * number wins.
     */
    void reload(long number, StartupConfig newConfig, String error) {
        loop.later("applying a reloaded configuration", () -> {
            if (newConfig == null) {
                log.log("SIGHUP: the configuration in hand stays: " + error);
                return;
            }
            if (number < latestReload) {
                return;
            }
            latestReload = number;
            String unapplied = String.join(", ", config.fieldsNeedingRestart(newConfig));
            log.log("SIGHUP: discovery at " + newConfig.discovery()
                    + (unapplied.isEmpty() ? "" : "; changed, but only a restart takes in: " + unapplied));
            config = config.withReloadable(newConfig);
            if (listWatch != null) {
                listWatch.moveTo(newConfig.discovery());
            }
            if (membership != null) {
                membership.onPeersChanged(config.peers());
            }
        });
    }

    /** Shuts down gracefully: every accepted query gets its response. */
    void stop() {
        loop.later("stopping", () -> {
            if (!isStopping) {
                isStopping = true;
                if (pipeline != null) {
                    shutDown();
                }
            }
        });
    }

    private void shutDown() {
        log.log("stopping");
        double deadline = loop.now() + limits.maxShutdownSeconds();
        pipeline.clientListener.startDraining(deadline - limits.lastResponseSeconds());
        if (membership != null) {
            membership.leave();
        }
        loop.after(limits.drainNoticeSeconds(), "closing the listener", () -> closeListener(deadline, -1));
    }

    /**
     * Closes the listener once a check finds no new connections. Closing it resets connections that the system has
     * accepted and this process has not, as after a pause. The library's own thread accepts; a zero timeout lets it
     * run. The cost: clients that keep connecting hold the listener open until half of the shutdown time has passed.
     */
    private void closeListener(double deadline, long acceptedBefore) {
        loop.timeOut(0, "closing the listener", () -> {
            long accepted = pipeline.clientListener.acceptedCount();
            if (accepted != acceptedBefore && loop.now() < deadline - limits.maxShutdownSeconds() / 2) {
                closeListener(deadline, accepted);
                return;
            }
            acceptPending();
            IoUtils.safeClose(listener);
            finish(deadline);
        });
    }

    /** Handles connections that the library has accepted but not yet passed on. */
    private void acceptPending() {
        try {
            StreamConnection connection = listener == null ? null : listener.accept();
            while (connection != null) {
                pipeline.clientListener.handleEvent(connection);
                connection = listener.accept();
            }
        } catch (IOException e) {
            log.log(Log.Level.WARNING, "mixer", "accepting the last connections: " + e.getMessage());
        }
    }

    /** Exits once no query awaits a response and all connections are closed (so flushed), or at the deadline. */
    private void finish(double deadline) {
        pipeline.clientListener.closeIdleConnections();
        if ((pipeline.queries.awaitingCount() == 0 && pipeline.clientListener.connectionCount() == 0)
                || loop.now() >= deadline) {
            log.log("stopped; " + pipeline.metrics().replace('\n', ';'));
            log.drain(limits.logDrainSeconds());
            Runtime.getRuntime().exit(0);
        }
        loop.after(limits.housekeepingIntervalSeconds() / 10, "ending", () -> finish(deadline));
    }
}
