package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import pinewick.dissemination.FleetMessages;
import pinewick.dissemination.FleetNode;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.NodeSettings;
import pinewick.model.RemovalStore;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages;
import pinewick.quota.QuotaPolicy;
import pinewick.replication.ReplicationMessages;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableStore;
import pinewick.storage.XodusStore;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.TransportException;

/**
 * A process of the control plane: receives heartbeats from replicas and configuration changes from operators over
 * HTTP, replicates the configuration with the other controllers, and disseminates it to the routers. This class owns
 * the threads, sockets and disk; the state belongs to {@link ControllerCore} and is accessed on the control loop.
 */
public final class Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Whether the primary moves replicas between stages. Disabled until measurements show a benefit
     * (docs/ROADMAP.md); the simulation of the control plane runs it.
     */
    private static final boolean STAGE_PLANNING_ENABLED = false;

    /** Directory of the configuration store within the data directory. */
    private static final String STORE_FOLDER = "configuration";

    /** Time within which a client has to send the request body, milliseconds. */
    private static final long BODY_TIMEOUT_MS = 5_000;

    /** The part of the grace period that is reserved for the shutdown steps after the handover, milliseconds. */
    private static final long CLOSE_RESERVE_MS = 3_500;

    /** Shortest time-out of the handover, however short the grace period is, milliseconds. */
    private static final long MIN_HANDOVER_MS = 500;

    private static final double MS_PER_SECOND = 1_000;

    /** Time-out of requests that are still in flight after the handover, milliseconds. */
    private static final long IN_FLIGHT_TIMEOUT_MS = 1_000;

    /** Time-out of a shutdown task on the control loop, milliseconds. */
    private static final long LOOP_TASK_TIMEOUT_MS = 1_000;

    /** What a controller has on its disk; usually one object, which is closed as the configuration store. */
    record Stores(StableStore configuration, RemovalStore removals) {
        static Stores open(Path folder, Executor completions) {
            XodusStore store = new XodusStore(folder, completions);
            return new Stores(store, store);
        }
    }

    /** Opens the stores of a process. */
    @FunctionalInterface
    interface StoreFactory {
        Stores create(Path folder, Executor completions);
    }

    private final NodeSettings settings;
    private final StoreFactory storeFactory;
    private final GuardedControlLoop loop = new GuardedControlLoop();
    private final double startedAtMs = loop.nowMs();
    private final CountDownLatch detached = new CountDownLatch(1);
    private final AtomicBoolean stopped = new AtomicBoolean();
    private NetworkTransport transport;
    private ControllerCore core;
    private Stores stores;
    private HttpReplicaClient replicaClient;
    private ApiServer api;
    private boolean shuttingDown;

    public Controller(NodeSettings settings) {
        this(settings, Stores::open);
    }

    Controller(NodeSettings settings, StoreFactory storeFactory) {
        this.settings = settings;
        this.storeFactory = storeFactory;
    }

    /**
     * Starts the process. Returns once the HTTP API listens. The configuration store is loaded in the background;
     * until that is done, operator requests are answered with 503.
     *
     * @throws ControllerException if a required setting is missing or an address cannot be bound; everything started
     *     so far is closed
     */
    public void start() throws ControllerException {
        try {
            assemble();
            startLoops();
            api.start();
        } catch (ControllerException e) {
            close();
            throw e;
        }
    }

    private void assemble() throws ControllerException {
        SocketAddress apiAddress = settings.controlPlane().orElseThrow(() -> missing("listen_addresses.control_plane"));
        Path folder = settings.dataDirectory().orElseThrow(() -> missing("data_directory"));
        SocketAddress internal = new SocketAddress(settings.ipAddress(), settings.controllerPort());
        SplittableRandom random = new SplittableRandom();
        transport = openTransport(internal);
        stores = storeFactory.create(folder.resolve(STORE_FOLDER), loop::execute);
        core = new ControllerCore(
                coreSettings(internal, apiAddress),
                loop,
                stores.configuration(),
                stores.removals(),
                transport,
                random.split(),
                random.split());
        api = new ApiServer(apiAddress, endpoints(), BODY_TIMEOUT_MS);
    }

    private ControllerCore.Settings coreSettings(SocketAddress internal, SocketAddress apiAddress) {
        NodeDescriptor self =
                new NodeDescriptor(internal, System.currentTimeMillis(), NodeRole.CONTROLLER, settings.zone());
        return new ControllerCore.Settings(
                self,
                replicationSettings(internal, apiAddress),
                settings.bounds().contactMs(),
                settings.heartbeatMs(),
                quotaPolicy());
    }

    private QuotaPolicy quotaPolicy() {
        NodeSettings.Bounds bounds = settings.bounds();
        return new QuotaPolicy(bounds.quotaWindowSeconds() * MS_PER_SECOND, bounds.quotaOverage(), bounds.quotaSlack());
    }

    private static ControllerException missing(String field) {
        return new ControllerException("read settings", field, new IllegalArgumentException("the setting is missing"));
    }

    private static NetworkTransport openTransport(SocketAddress internal) throws ControllerException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(ReplicationMessages.types());
        List<Class<?>> laterTypes = new ArrayList<>(FleetMessages.laterTypes());
        laterTypes.addAll(QuotaMessages.types());
        try {
            return new NetworkTransport(internal, new MessageCodec(types, laterTypes));
        } catch (TransportException e) {
            throw new ControllerException("open the transport", internal.toString(), e);
        }
    }

    private ReplicationSettings replicationSettings(SocketAddress internal, SocketAddress apiAddress) {
        return new ReplicationSettings(
                internal,
                apiAddress,
                settings.seedControllers(),
                settings.firstStart(),
                settings.toleratedMachines(),
                settings.bounds().ackMs(),
                settings.bounds().leaseMs());
    }

    private Map<ApiOperation, ApiEndpoint> endpoints() {
        Map<ApiOperation, ApiEndpoint> endpoints = new EnumMap<>(ApiOperation.class);
        endpoints.put(ApiOperation.HEARTBEAT, core::heartbeat);
        endpoints.put(ApiOperation.DEREGISTER, core::deregister);
        endpoints.put(ApiOperation.REPLACE_CONFIGURATION, core::replaceConfiguration);
        endpoints.put(ApiOperation.UPDATE_CONFIGURATION, core::updateConfiguration);
        endpoints.put(ApiOperation.READ_CONFIGURATION, core::readConfiguration);
        endpoints.put(ApiOperation.STATUS, this::status);
        return endpoints;
    }

    private void startLoops() throws ControllerException {
        transport.start((sender, message) -> loop.execute(() -> core.onMessage(sender, message)));
        loop.execute(core::start);
        loop.execute(this::tick);
        loop.repeat(this::tick, ControllerCore.TICK_MS);
        loop.repeat(core::onHousekeeping, ControllerCore.HOUSEKEEPING_MS);
        if (STAGE_PLANNING_ENABLED) {
            startPlanningStages();
        }
    }

    private void startPlanningStages() throws ControllerException {
        replicaClient = new HttpReplicaClient(loop);
        FencingTokens tokens = new FencingTokens(settings.nodeName());
        StageReconciler reconciler =
                new StageReconciler(core.fleet(), new StagePlanner(), replicaClient, tokens, core::leadingEpoch, loop);
        loop.repeat(reconciler::renewLease, OrderLease.RENEWAL_MS);
        loop.repeat(reconciler::run, StageReconciler.PERIOD_MS);
    }

    private void tick() {
        core.onTick();
        if (shuttingDown && core.isDetached()) {
            detached.countDown();
        }
    }

    private void status(ApiRequest request, Consumer<ApiResponse> responder) {
        LoopDispatcher.dispatch(
                loop,
                responder,
                () -> responder.accept(ApiResponse.ok(statusReport().toJson())));
    }

    private StatusReport statusReport() {
        FleetNode node = core.node();
        return new StatusReport()
                .node(settings.nodeName(), settings.zone(), loop.nowMs() - startedAtMs)
                .configuration(
                        core.state().configuration().version(),
                        core.replicationReport(),
                        core.leadingEpoch(),
                        core.lastEvent())
                .fleet(node.isSynchronised(), node.routerCount(), node.routerCountUpperBound(), node.peers())
                .replicas(core.state().replicas())
                .tenants(core.tenantUsage())
                .registry(core.counters());
    }

    /** Logs that the seeds, the {@code control_plane} addresses of some controllers, have changed. */
    public void updateSeeds(List<SocketAddress> seeds) {
        LOGGER.atInfo().log("settings changed: seeds are %s", seeds);
    }

    /** Called when the settings file has changed. Only logs the new seeds. */
    public void settingsChanged(NodeSettings changed) {
        updateSeeds(changed.seedNodes());
    }

    /**
     * Hands over to the other controllers, completes the requests in flight and closes everything within the grace
     * period. Calls after the first have no effect.
     */
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        if (api != null) {
            api.rejectNewRequests();
            runOnLoop(this::beginReplicationShutdown);
            await(detached, handoverTimeoutMs(settings.bounds().gracePeriodSeconds()));
            api.awaitRequests(IN_FLIGHT_TIMEOUT_MS);
            runOnLoop(core::leaveFleet);
        }
        close();
    }

    /**
     * Time-out of the handover to the other controllers, milliseconds. The handover ends as soon as they no longer
     * need this process; it takes long only if this process is one of the last in-sync stores, or its vote is needed
     * for a majority.
     *
     * @param gracePeriodSeconds time between SIGTERM and SIGKILL
     */
    public static long handoverTimeoutMs(double gracePeriodSeconds) {
        long graceMs = (long) (gracePeriodSeconds * MS_PER_SECOND);
        return Math.max(MIN_HANDOVER_MS, graceMs - CLOSE_RESERVE_MS);
    }

    private void beginReplicationShutdown() {
        shuttingDown = true;
        core.beginReplicationShutdown();
    }

    private void runOnLoop(Runnable task) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                task.run();
            } finally {
                done.countDown();
            }
        });
        await(done, LOOP_TASK_TIMEOUT_MS);
    }

    private static void await(CountDownLatch latch, long timeoutMs) {
        try {
            if (!latch.await(timeoutMs, TimeUnit.MILLISECONDS)) {
                LOGGER.atInfo().log("shutdown: a step did not complete within %d ms", timeoutMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes everything without a handover, as if the process were killed. */
    void close() {
        stopped.set(true);
        if (api != null) {
            api.stop();
        }
        if (replicaClient != null) {
            replicaClient.close();
        }
        if (transport != null) {
            transport.close();
        }
        loop.close();
        if (stores != null && stores.configuration() instanceof AutoCloseable closeable) {
            closeStore(closeable);
        }
    }

    private static void closeStore(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // AutoCloseable.close may throw any exception; a failure to close the store must not prevent the process
            // from ending.
            LOGGER.atWarning().withCause(e).log("closing the store failed");
        }
    }
}
