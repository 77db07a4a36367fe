package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
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
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;
import pinewick.transport.TransportException;

/**
 * A process of the control plane: takes heartbeats of replicas and the operator's changes over HTTP, keeps the
 * configuration together with the other controllers, and tells the routers.
 */
public final class Controller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How long a caller may take to send its body, milliseconds. */
    private static final long BODY_DEADLINE_MS = 5_000;

    /** How long calls under way may take when the process stops, milliseconds. */
    private static final long LAST_CALLS_MS = 1_500;

    /** How long the control loop may take for a task of the start or the stop, milliseconds. */
    private static final long LOOP_PATIENCE_MS = 1_000;

    private final NodeSettings settings;
    private final ProcessLoop loop = new ProcessLoop();
    private final FleetState state = new FleetState();
    private final RegistryCounters counters = new RegistryCounters();
    private final double startedAtMs = loop.nowMs();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private NetworkTransport transport;
    private FleetNode node;
    private ReplicaRegistry registry;
    private Housekeeping housekeeping;
    private ApiServer api;

    public Controller(NodeSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts to serve. Returns once the HTTP API listens; the configuration store is loaded meanwhile, and calls of the
     * operator are sent on to other controllers until it is.
     */
    public void start() throws ControllerException {
        SocketAddress apiAddress = settings.controlPlane()
                .orElseThrow(() -> new ControllerException(
                        "read settings", "listen_addresses", new IllegalArgumentException("no control_plane address")));
        try {
            assemble(apiAddress);
            startLoops();
            api.start();
        } catch (ControllerException e) {
            close();
            throw e;
        }
    }

    private void assemble(SocketAddress apiAddress) throws ControllerException {
        transport = openTransport();
        SplittableRandom random = new SplittableRandom();
        node = new FleetNode(self(), settings.seedControllers(), state, transport, random);
        GossipFleet fleet = new GossipFleet(node, state, loop);
        registry = new ReplicaRegistry(fleet, loop, settings.bounds().contactMs(), counters);
        LivenessJudge judge =
                new LivenessJudge(settings.heartbeatMs(), settings.bounds().contactMs(), loop.nowMs());
        housekeeping = new Housekeeping(fleet, registry, judge, counters, loop);
        api = new ApiServer(apiAddress, endpoints(apiAddress), BODY_DEADLINE_MS);
    }

    private NetworkTransport openTransport() throws ControllerException {
        SocketAddress internal = new SocketAddress(settings.ipAddress(), settings.controllerPort());
        try {
            return new NetworkTransport(internal, new MessageCodec(FleetMessages.types()));
        } catch (TransportException e) {
            throw new ControllerException("open the transport", internal.toString(), e);
        }
    }

    private NodeDescriptor self() {
        SocketAddress internal = new SocketAddress(settings.ipAddress(), settings.controllerPort());
        return new NodeDescriptor(internal, System.currentTimeMillis(), NodeRole.CONTROLLER, settings.zone());
    }

    private Map<ApiOperation, ApiEndpoint> endpoints(SocketAddress apiAddress) {
        ReplicaEndpoints replicas = new ReplicaEndpoints(registry, loop);
        ConfigurationEndpoints configuration = new ConfigurationEndpoints(
                Optional::empty, loop, apiAddress, settings.bounds().ackMs());
        Map<ApiOperation, ApiEndpoint> endpoints = new EnumMap<>(ApiOperation.class);
        endpoints.put(ApiOperation.HEARTBEAT, replicas::heartbeat);
        endpoints.put(ApiOperation.DEREGISTER, replicas::deregister);
        endpoints.put(ApiOperation.REPLACE_CONFIGURATION, configuration::replace);
        endpoints.put(ApiOperation.UPDATE_CONFIGURATION, configuration::update);
        endpoints.put(ApiOperation.READ_CONFIGURATION, configuration::read);
        endpoints.put(ApiOperation.STATUS, this::status);
        return endpoints;
    }

    private void startLoops() {
        transport.start((sender, message) -> loop.execute(() -> onMessage(sender, message)));
        loop.execute(this::tick);
        loop.repeat(this::tick, FleetNode.TICK_MS);
        loop.repeat(housekeeping::run, Housekeeping.PERIOD_MS);
    }

    private void tick() {
        node.onTick(loop.nowMs());
    }

    private void onMessage(SocketAddress sender, Message message) {
        if (!node.onMessage(sender, message, loop.nowMs())) {
            logger.atFine().log("message of %s from %s has no taker", message.getClass(), sender);
        }
    }

    private void status(ApiCall call, Consumer<ApiAnswer> answer) {
        loop.execute(() -> answer.accept(ApiAnswer.ok(statusReport().toJson())));
    }

    private StatusReport statusReport() {
        return new StatusReport()
                .node(settings.nodeName(), settings.zone(), loop.nowMs() - startedAtMs)
                .configuration(false, state.configuration().version(), Optional.empty(), Optional.empty())
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
     * Ends calls under way, tells the other processes, and closes everything; well within the grace period. Further calls
     * do nothing.
     */
    public void stop() {
        if (!stopped.compareAndSet(false, true)) {
            return;
        }
        if (api != null) {
            api.refuseNewCalls();
            onLoop(() -> node.leave(loop.nowMs()));
            api.awaitCalls(LAST_CALLS_MS);
        }
        close();
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
        try {
            if (!done.await(LOOP_PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                logger.atWarning().log("stop: the control loop is busy");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() {
        if (api != null) {
            try {
                api.stop();
            } catch (ControllerException e) {
                logger.atWarning().withCause(e).log("stop");
            }
        }
        if (transport != null) {
            transport.close();
        }
        loop.close();
    }
}
