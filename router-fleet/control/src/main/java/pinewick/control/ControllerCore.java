package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pinewick.dissemination.FleetMessages;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.membership.NodeDescriptor;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.RemovalStore;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaPolicy;
import pinewick.quota.TenantUsage;
import pinewick.replication.ReplicationNode;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableStore;

/**
 * The logic of a controller without sockets, threads and disk: the replicated configuration, the fleet, the replica
 * registry and the endpoints of the HTTP API. Its owner passes in the time, messages and requests: {@link
 * Controller} those of the network, a simulation those of its virtual time. Control loop only, except for the
 * endpoints, which any thread may call.
 */
public final class ControllerCore {
    /** Interval at which {@link #onTick} has to be called, milliseconds. */
    public static final int TICK_MS = FleetNode.TICK_MS;

    /** Interval at which {@link #onHousekeeping} has to be called, milliseconds. */
    public static final int HOUSEKEEPING_MS = Housekeeping.PERIOD_MS;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Settings settings;
    private final TaskLoop loop;
    private final Outbox outbox;
    private final FleetState state = new FleetState();
    private final RegistryCounters counters = new RegistryCounters();
    private final ControllerContact contact;
    private final FleetNode node;
    private final ReplicationNode replication;
    private final CommittedConfigurationListener configurationListener;
    private final DurableRemovals removals;
    private final GossipFleet fleet;
    private final TenantLimits tenantLimits;
    private final Housekeeping housekeeping;
    private final ReplicaEndpoints replicaEndpoints;
    private final ConfigurationEndpoints configurationEndpoints;
    private boolean leftFleet;

    /**
     * Settings of a controller.
     *
     * @param self this process as a member of the fleet
     * @param replication settings of the replicated configuration; its seeds are also the seeds of the fleet
     * @param contactMs without a message from any other controller for this long, this process counts as the only
     *     one, milliseconds; the failure detector waits as long after a disturbance
     * @param heartbeatMs interval between the heartbeats of a replica, milliseconds
     * @param quotaPolicy policy by which tenant quotas are granted
     */
    public record Settings(
            NodeDescriptor self,
            ReplicationSettings replication,
            int contactMs,
            int heartbeatMs,
            QuotaPolicy quotaPolicy) {}

    /**
     * @param loop the control loop, the only one to use this object
     * @param store stores the replicated configuration on disk
     * @param removalStore stores the removals of replicas on disk
     * @param outbox sends messages to other processes
     * @param fleetRandom source of randomness for membership and dissemination
     * @param replicationRandom source of randomness for replication
     */
    public ControllerCore(
            Settings settings,
            TaskLoop loop,
            StableStore store,
            RemovalStore removalStore,
            Outbox outbox,
            RandomGenerator fleetRandom,
            RandomGenerator replicationRandom) {
        this.settings = settings;
        this.loop = loop;
        this.outbox = outbox;
        this.contact = new ControllerContact(loop.nowMs());
        ReplicationSettings replicationSettings = settings.replication();
        node = new FleetNode(settings.self(), replicationSettings.seeds(), state, outbox, fleetRandom);
        configurationListener = new CommittedConfigurationListener(state, node, loop);
        replication = new ReplicationNode(replicationSettings, store, outbox, replicationRandom, configurationListener);
        tenantLimits = new TenantLimits(settings.quotaPolicy(), loop);
        state.addListener(tenantLimits);
        removals = new DurableRemovals(removalStore, loop, record -> node.publish(record, loop.nowMs()));
        state.addListener(removals);
        node.setRemovalDurability(removals);
        fleet = new GossipFleet(node, state, loop, removals, replicationSettings.toleratedMachines());
        ReplicaRegistry registry = new ReplicaRegistry(fleet, loop, contact, settings.contactMs(), counters);
        ReplicaFailureDetector failureDetector =
                new ReplicaFailureDetector(settings.heartbeatMs(), settings.contactMs(), loop.nowMs());
        housekeeping =
                new Housekeeping(fleet, registry, failureDetector, counters, replication::setKnownControllers, loop);
        replicaEndpoints = new ReplicaEndpoints(registry, loop);
        configurationEndpoints = new ConfigurationEndpoints(
                replication, loop, replicationSettings.operatorApi(), replicationSettings.ackMs());
    }

    /** Reads both stores, and starts the replication, which joins the quorum. */
    public void start() {
        replication.start(loop.nowMs());
        removals.load();
    }

    /** Runs the timers of membership, dissemination and replication; to be called every {@link #TICK_MS}. */
    public void onTick() {
        if (!leftFleet) {
            node.onTick(loop.nowMs());
        }
        replication.onTick(loop.nowMs());
        if (replication.isUpToDate()) {
            contact.onQuorumContact(loop.nowMs());
            node.confirmConfiguration(loop.nowMs());
        }
        tenantLimits.setAuthority(replication.soleAuthorityTenure(loop.nowMs()));
        updateFreshness();
    }

    /** Passes on to dissemination which primary replication knows, and how recently the configuration was confirmed. */
    private void updateFreshness() {
        replication.configurationConfirmedAtMs().ifPresent(node::confirmConfigurationUnderLease);
        int internalPort = settings.self().address().port();
        node.setKnownPrimary(replication.primary().map(api -> new SocketAddress(api.host(), internalPort)));
    }

    /** Runs the periodic tasks of {@link Housekeeping}. */
    public void onHousekeeping() {
        housekeeping.run();
        removals.onTick();
    }

    /** Handles a message from another process. */
    public void onMessage(SocketAddress sender, Message message) {
        double nowMs = loop.nowMs();
        if (sender.port() == settings.self().address().port()) {
            contact.onMessage(nowMs);
        }
        if (message instanceof FleetMessages.HeartbeatBatch batch) {
            fleet.onHeartbeatBatch(sender, batch);
        } else if (message instanceof FleetMessages.ConfirmationRequest) {
            replication.advanceClock(nowMs);
            updateFreshness();
        }
        if (message instanceof QuotaRequest request) {
            tenantLimits.setAuthority(replication.soleAuthorityTenure(loop.nowMs()));
            outbox.send(sender, tenantLimits.decide(sender, request, node.knownPrimary()));
            return;
        }
        boolean handled =
                replication.onMessage(sender, message, nowMs) || (!leftFleet && node.onMessage(sender, message, nowMs));
        if (!handled) {
            LOGGER.atFine().log(
                    "message ignored: %s from %s: no handler",
                    message.getClass().getSimpleName(), sender);
        }
    }

    /** Begins the shutdown of this process: transfers leadership and leaves the in-sync set. */
    public void beginReplicationShutdown() {
        replication.beginShutdown(loop.nowMs());
    }

    /** Whether the other controllers no longer need this one, after {@link #beginReplicationShutdown}. */
    public boolean isDetached() {
        return replication.isDetached();
    }

    /**
     * Leaves the fleet; the last step of a shutdown. Afterwards messages from peers are ignored, since a reply would
     * make them take this process for one that has restarted.
     */
    public void leaveFleet() {
        leftFleet = true;
        node.leave(loop.nowMs());
    }

    /** {@code POST /config/replace}. */
    public void replaceConfiguration(ApiRequest request, Consumer<ApiResponse> responder) {
        configurationEndpoints.replace(request, responder);
    }

    /** {@code POST /config/update}. */
    public void updateConfiguration(ApiRequest request, Consumer<ApiResponse> responder) {
        configurationEndpoints.update(request, responder);
    }

    /** {@code GET /config/read}. */
    public void readConfiguration(ApiRequest request, Consumer<ApiResponse> responder) {
        configurationEndpoints.read(request, responder);
    }

    /** {@code POST /instances/ID/heartbeat}. */
    public void heartbeat(ApiRequest request, Consumer<ApiResponse> responder) {
        replicaEndpoints.heartbeat(request, responder);
    }

    /** {@code POST /instances/ID/deregister}. */
    public void deregister(ApiRequest request, Consumer<ApiResponse> responder) {
        replicaEndpoints.deregister(request, responder);
    }

    /** The configuration in force and the replica records known to this process. */
    public FleetState state() {
        return state;
    }

    /** Address of the operator API of the primary, possibly this process; empty if none is known. */
    public Optional<SocketAddress> primary() {
        return replication.primary();
    }

    /**
     * The epoch whose lease this process holds now; empty if it holds none, for example after the process was
     * suspended.
     */
    public Optional<Long> leadingEpoch() {
        replication.advanceClock(loop.nowMs());
        return replication.leadingEpoch();
    }

    /**
     * The epoch that this process leads, if no other process can currently consider itself the primary; empty
     * otherwise, for example after the process was suspended.
     */
    public Optional<Long> soleAuthorityEpoch() {
        return replication.soleAuthorityEpoch(loop.nowMs());
    }

    /** The current state of the replicated configuration. */
    public ReplicationReport replicationReport() {
        replication.advanceClock(loop.nowMs());
        return replication.report();
    }

    /** The quota granted to each tenant that has one; empty while this process is not the one that grants quotas. */
    List<TenantUsage> tenantUsage() {
        return tenantLimits.usage();
    }

    /** The last event of the replication, empty if there was none. */
    public String lastEvent() {
        return configurationListener.lastEvent();
    }

    FleetNode node() {
        return node;
    }

    GossipFleet fleet() {
        return fleet;
    }

    RegistryCounters counters() {
        return counters;
    }
}
