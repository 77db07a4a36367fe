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
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableStore;
import pinewick.storage.XodusStore;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.TransportException;

/**
 * A process of the control plane: takes heartbeats of replicas and the operator's changes over HTTP, keeps the
 * configuration together with the other controllers, and tells the routers.
 */
public final class Controller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Whether the primary moves replicas between stages. Off until a gain has been measured. */
    private static final boolean PLANS_STAGES = false;

    /** Folder of the configuration store within the data directory. */
    private static final String STORE_FOLDER = "configuration";

    /** How long a caller may take to send its body, milliseconds. */
    private static final long BODY_DEADLINE_MS = 5_000;

    /** What of the grace period is left for the rest of a stop once the hand-over has ended, milliseconds. */
    private static final long AFTER_HAND_OVER_MS = 3_500;

    /** The hand-over gets this long however short the grace period is, milliseconds. */
    private static final long SHORTEST_HAND_OVER_MS = 500;

    private static final double MS_A_SECOND = 1_000;

    /** How long calls under way may take after that, milliseconds. */
    private static final long LAST_CALLS_MS = 1_000;

    /** How long the control loop may take for a task of the stop, milliseconds. */
    private static final long LOOP_PATIENCE_MS = 1_000;

    /** Makes the disk of a process. */
    @FunctionalInterface
    interface StoreFactory {
        StableStore create(Path folder, Executor completions);
    }

    private final NodeSettings settings;
    private final StoreFactory storeFactory;
    private final ProcessLoop loop = new ProcessLoop();
    private final double startedAtMs = loop.nowMs();
    private final CountDownLatch detached = new CountDownLatch(1);
    private final AtomicBoolean stopped = new AtomicBoolean();
    private NetworkTransport transport;
    private ControllerCore core;
    private StableStore store;
    private HttpReplicaCalls replicaCalls;
    private ApiServer api;
    private boolean leaving;

    public Controller(NodeSettings settings) {
        this(settings, XodusStore::new);
    }

    Controller(NodeSettings settings, StoreFactory storeFactory) {
        this.settings = settings;
        this.storeFactory = storeFactory;
    }

    /**
     * Starts to serve. Returns once the HTTP API listens; the configuration store is loaded meanwhile, and calls of the
     * operator are sent on to other controllers until it is.
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
        store = storeFactory.create(folder.resolve(STORE_FOLDER), loop::execute);
        core = new ControllerCore(
                coreSettings(internal, apiAddress), loop, store, transport, random.split(), random.split());
        api = new ApiServer(apiAddress, endpoints(), BODY_DEADLINE_MS);
    }

    private ControllerCore.Settings coreSettings(SocketAddress internal, SocketAddress apiAddress) {
        NodeDescriptor self =
                new NodeDescriptor(internal, System.currentTimeMillis(), NodeRole.CONTROLLER, settings.zone());
        return new ControllerCore.Settings(
                self,
                replicationSettings(internal, apiAddress),
                settings.bounds().contactMs(),
                settings.heartbeatMs());
    }

    private static ControllerException missing(String field) {
        return new ControllerException("read settings", field, new IllegalArgumentException("it is missing"));
    }

    private static NetworkTransport openTransport(SocketAddress internal) throws ControllerException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(ReplicationMessages.types());
        try {
            return new NetworkTransport(internal, new MessageCodec(types));
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
        if (PLANS_STAGES) {
            startPlanningStages();
        }
    }

    private void startPlanningStages() throws ControllerException {
        replicaCalls = new HttpReplicaCalls(loop);
        FencingTokens tokens = new FencingTokens(settings.nodeName());
        StageReconciler reconciler =
                new StageReconciler(core.fleet(), new StagePlanner(), replicaCalls, tokens, core::leadingEpoch, loop);
        loop.repeat(reconciler::renewLease, OrderLease.RENEWAL_MS);
        loop.repeat(reconciler::run, StageReconciler.PERIOD_MS);
    }

    private void tick() {
        core.onTick();
        if (leaving && core.detached()) {
            detached.countDown();
        }
    }

    private void status(ApiCall call, Consumer<ApiAnswer> answer) {
        LoopCall.run(
                loop, answer, () -> answer.accept(ApiAnswer.ok(statusReport().toJson())));
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
                .fleet(node.synchronised(), node.routerCount(), node.routerCountUpperBound(), node.peers())
                .replicas(core.state().replicas())
                .registry(core.counters());
    }

    /** Takes note of other seeds: {@code control_plane} addresses of some controllers. */
    public void updateSeeds(List<SocketAddress> seeds) {
        logger.atInfo().log("seeds are now %s", seeds);
    }

    /** Takes note of a settings file that has changed. */
    public void settingsChanged(NodeSettings changed) {
        updateSeeds(changed.seedNodes());
    }

    /**
     * Hands over to the other controllers, ends calls under way and closes everything; well within the grace period.
     * Further calls do nothing.
     */
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        if (api != null) {
            api.refuseNewCalls();
            onLoop(this::leaveReplication);
            await(detached, handOverMs(settings.bounds().gracePeriodSeconds()));
            api.awaitCalls(LAST_CALLS_MS);
            onLoop(core::leaveFleet);
        }
        close();
    }

    /**
     * How long the hand-over to the other controllers may take. It ends as soon as they can do without this one; it
     * lasts longer only while this process holds one of the last copies or a vote that they need.
     *
     * @param gracePeriodSeconds time between the order to stop and the kill
     */
    public static long handOverMs(double gracePeriodSeconds) {
        long graceMs = (long) (gracePeriodSeconds * MS_A_SECOND);
        return Math.max(SHORTEST_HAND_OVER_MS, graceMs - AFTER_HAND_OVER_MS);
    }

    private void leaveReplication() {
        leaving = true;
        core.leaveReplication();
    }

    private void onLoop(Runnable task) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                task.run();
            } finally {
                done.countDown();
            }
        });
        await(done, LOOP_PATIENCE_MS);
    }

    private static void await(CountDownLatch latch, long mostMs) {
        try {
            if (!latch.await(mostMs, TimeUnit.MILLISECONDS)) {
                logger.atInfo().log("stop: a step was not done within %d ms", mostMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes everything and tells nobody, as when the process is killed. */
    void close() {
        stopped.set(true);
        if (api != null) {
            api.stop();
        }
        if (replicaCalls != null) {
            replicaCalls.close();
        }
        if (transport != null) {
            transport.close();
        }
        loop.close();
        if (store instanceof AutoCloseable closeable) {
            closeStore(closeable);
        }
    }

    private static void closeStore(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            logger.atWarning().withCause(e).log("close the store");
        }
    }
}
