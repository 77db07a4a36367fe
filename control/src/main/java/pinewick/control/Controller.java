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
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.membership.NodeRole;
import pinewick.model.Message;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages;
import pinewick.replication.ReplicationNode;
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

    /** How long the hand-over to the other controllers may take when the process stops, milliseconds. */
    private static final long HAND_OVER_MS = 1_500;

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
    private final FleetState state = new FleetState();
    private final RegistryCounters counters = new RegistryCounters();
    private final double startedAtMs = loop.nowMs();
    private final ControllerContact contact = new ControllerContact(startedAtMs);
    private final CountDownLatch detached = new CountDownLatch(1);
    private final AtomicBoolean stopped = new AtomicBoolean();
    private NetworkTransport transport;
    private FleetNode node;
    private ReplicationNode replication;
    private CommittedConfigurations configurations;
    private GossipFleet fleet;
    private ReplicaRegistry registry;
    private Housekeeping housekeeping;
    private StableStore store;
    private HttpReplicaCalls replicaCalls;
    private ApiServer api;
    private boolean leaving;
    private boolean left;

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
        NodeDescriptor self =
                new NodeDescriptor(internal, System.currentTimeMillis(), NodeRole.CONTROLLER, settings.zone());
        node = new FleetNode(self, settings.seedControllers(), state, transport, random.split());
        configurations = new CommittedConfigurations(state, node, loop);
        store = storeFactory.create(folder.resolve(STORE_FOLDER), loop::execute);
        replication = new ReplicationNode(
                replicationSettings(internal, apiAddress), store, transport, random.split(), configurations);
        assembleRegistry();
        api = new ApiServer(apiAddress, endpoints(apiAddress), BODY_DEADLINE_MS);
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

    private void assembleRegistry() {
        fleet = new GossipFleet(node, state, loop);
        double contactMs = settings.bounds().contactMs();
        registry = new ReplicaRegistry(fleet, loop, contact, contactMs, counters);
        LivenessJudge judge = new LivenessJudge(settings.heartbeatMs(), contactMs, loop.nowMs());
        housekeeping = new Housekeeping(fleet, registry, judge, counters, replication::knownControllers, loop);
    }

    private Map<ApiOperation, ApiEndpoint> endpoints(SocketAddress apiAddress) {
        ReplicaEndpoints replicas = new ReplicaEndpoints(registry, loop);
        ConfigurationEndpoints configuration = new ConfigurationEndpoints(
                replication, loop, apiAddress, settings.bounds().ackMs());
        Map<ApiOperation, ApiEndpoint> endpoints = new EnumMap<>(ApiOperation.class);
        endpoints.put(ApiOperation.HEARTBEAT, replicas::heartbeat);
        endpoints.put(ApiOperation.DEREGISTER, replicas::deregister);
        endpoints.put(ApiOperation.REPLACE_CONFIGURATION, configuration::replace);
        endpoints.put(ApiOperation.UPDATE_CONFIGURATION, configuration::update);
        endpoints.put(ApiOperation.READ_CONFIGURATION, configuration::read);
        endpoints.put(ApiOperation.STATUS, this::status);
        return endpoints;
    }

    private void startLoops() throws ControllerException {
        transport.start((sender, message) -> loop.execute(() -> onMessage(sender, message)));
        loop.execute(() -> replication.start(loop.nowMs()));
        loop.execute(this::tick);
        loop.repeat(this::tick, FleetNode.TICK_MS);
        loop.repeat(housekeeping::run, Housekeeping.PERIOD_MS);
        if (PLANS_STAGES) {
            startPlanningStages();
        }
    }

    private void startPlanningStages() throws ControllerException {
        replicaCalls = new HttpReplicaCalls(loop);
        FencingTokens tokens = new FencingTokens(settings.nodeName());
        StageReconciler reconciler =
                new StageReconciler(fleet, new StagePlanner(), replicaCalls, tokens, replication::leadingEpoch, loop);
        loop.repeat(reconciler::renewLease, OrderLease.RENEWAL_MS);
        loop.repeat(reconciler::run, StageReconciler.PERIOD_MS);
    }

    private void tick() {
        if (!left) {
            node.onTick(loop.nowMs());
        }
        replication.onTick(loop.nowMs());
        if (replication.holdsNewest()) {
            contact.quorumConfirmed(loop.nowMs());
            node.confirmConfiguration(loop.nowMs());
        }
        if (leaving && replication.detached()) {
            detached.countDown();
        }
    }

    private void onMessage(SocketAddress sender, Message message) {
        double nowMs = loop.nowMs();
        if (sender.port() == settings.controllerPort()) {
            contact.heard(nowMs);
        }
        if (message instanceof FleetMessages.HeartbeatBatch batch) {
            fleet.heardBy(sender, batch);
        }
        boolean handled =
                replication.onMessage(sender, message, nowMs) || (!left && node.onMessage(sender, message, nowMs));
        if (!handled) {
            logger.atFine().log("%s from %s has no taker", message.getClass(), sender);
        }
    }

    private void status(ApiCall call, Consumer<ApiAnswer> answer) {
        LoopCall.run(
                loop, answer, () -> answer.accept(ApiAnswer.ok(statusReport().toJson())));
    }

    private StatusReport statusReport() {
        return new StatusReport()
                .node(settings.nodeName(), settings.zone(), loop.nowMs() - startedAtMs)
                .configuration(
                        state.configuration().version(),
                        replication.primary(),
                        replication.leadingEpoch(),
                        configurations.lastEvent())
                .fleet(node.synchronised(), node.routerCount(), node.routerCountUpperBound(), node.peers())
                .replicas(state.replicas())
                .registry(counters);
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
            await(detached, HAND_OVER_MS);
            api.awaitCalls(LAST_CALLS_MS);
            onLoop(this::leaveFleet);
        }
        close();
    }

    private void leaveReplication() {
        leaving = true;
        replication.leave(loop.nowMs());
    }

    /** Comes last: a process that still answers its peers would be taken for one that has come back. */
    private void leaveFleet() {
        left = true;
        node.leave(loop.nowMs());
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
