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
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaPolicy;
import pinewick.quota.TenantUsage;
import pinewick.replication.ReplicationNode;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableStore;

/**
 * A controller without its sockets, threads and disk: the replicated configuration, the fleet, the replica registry and
 * the endpoints of the HTTP API. Its owner hands in time, messages and requests: {@link Controller} from the network, a
 * simulation in virtual time. Control loop only, except for the endpoints, which any thread may call.
 */
public final class ControllerCore {
    /** How often {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = FleetNode.TICK_MS;

    /** How often {@link #onHousekeeping} is to be called, milliseconds. */
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
    private final CommittedConfigurationListener configurations;
    private final GossipFleet fleet;
    private final TenantLimits limits;
    private final Housekeeping housekeeping;
    private final ReplicaEndpoints replicaEndpoints;
    private final ConfigurationEndpoints configurationEndpoints;
    private boolean leftFleet;

    /**
     * Settings of a controller.
     *
     * @param self this process as a member of the fleet
     * @param replication settings of the replicated configuration; its seeds are also those of the fleet
     * @param contactMs without contact to other controllers for this long, this process counts as partitioned,
     *     milliseconds
     * @param heartbeatMs interval between the heartbeats of a replica, milliseconds
     * @param quotaTerms the platform's rule on limits of tenants
     */
    public record Settings(
            NodeDescriptor self,
            ReplicationSettings replication,
            int contactMs,
            int heartbeatMs,
            QuotaPolicy quotaTerms) {}

    /**
     * @param loop owns this object
     * @param store the disk of this process
     * @param outbox sends messages to other processes
     * @param fleetRandom randomness of membership and dissemination
     * @param replicationRandom randomness of the replicated configuration
     */
    public ControllerCore(
            Settings settings,
            TaskLoop loop,
            StableStore store,
            Outbox outbox,
            RandomGenerator fleetRandom,
            RandomGenerator replicationRandom) {
        this.settings = settings;
        this.loop = loop;
        this.outbox = outbox;
        this.contact = new ControllerContact(loop.nowMs());
        ReplicationSettings replicationSettings = settings.replication();
        node = new FleetNode(settings.self(), replicationSettings.seeds(), state, outbox, fleetRandom);
        configurations = new CommittedConfigurationListener(state, node, loop);
        replication = new ReplicationNode(replicationSettings, store, outbox, replicationRandom, configurations);
        limits = new TenantLimits(settings.quotaTerms(), loop);
        state.addListener(limits);
        fleet = new GossipFleet(node, state, loop);
        ReplicaRegistry registry = new ReplicaRegistry(fleet, loop, contact, settings.contactMs(), counters);
        ReplicaFailureDetector failureDetector =
                new ReplicaFailureDetector(settings.heartbeatMs(), settings.contactMs(), loop.nowMs());
        housekeeping =
                new Housekeeping(fleet, registry, failureDetector, counters, replication::setKnownControllers, loop);
        replicaEndpoints = new ReplicaEndpoints(registry, loop);
        configurationEndpoints = new ConfigurationEndpoints(
                replication, loop, replicationSettings.operatorApi(), replicationSettings.ackMs());
    }

    /** Starts: reads the disk and joins the quorum. */
    public void start() {
        replication.start(loop.nowMs());
    }

    /** Time has passed. */
    public void onTick() {
        if (!leftFleet) {
            node.onTick(loop.nowMs());
        }
        replication.onTick(loop.nowMs());
        if (replication.isUpToDate()) {
            contact.onQuorumContact(loop.nowMs());
            node.confirmConfiguration(loop.nowMs());
        }
        limits.setAuthority(replication.soleAuthorityTenure(loop.nowMs()));
        updateFreshness();
    }

    /** Passes on what replication knows of the primary and proves about the configuration. */
    private void updateFreshness() {
        replication.configurationConfirmedAtMs().ifPresent(node::confirmConfigurationUnderLease);
        int internalPort = settings.self().address().port();
        node.setKnownPrimary(replication.primary().map(api -> new SocketAddress(api.host(), internalPort)));
    }

    /** Runs the periodic tasks of {@link Housekeeping}. */
    public void onHousekeeping() {
        housekeeping.run();
    }

    /** Handles a message of another process. */
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
            limits.setAuthority(replication.soleAuthorityTenure(loop.nowMs()));
            outbox.send(sender, limits.decide(sender, request, node.knownPrimary()));
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

    /** This process is shutting down: transfers leadership, and leaves the in-sync set. */
    public void beginReplicationShutdown() {
        replication.beginShutdown(loop.nowMs());
    }

    /** After {@link #beginReplicationShutdown}: whether the other controllers no longer need this one. */
    public boolean isDetached() {
        return replication.isDetached();
    }

    /**
     * Leaves the fleet, as the last step: a process that still answers its peers would be taken for one that has
     * restarted.
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

    /** The configuration in force and the replicas, as far as this process knows. */
    public FleetState state() {
        return state;
    }

    /** Operator API of the primary that this process knows, which may be its own. */
    public Optional<SocketAddress> primary() {
        return replication.primary();
    }

    /** The epoch whose lease this process holds at this moment: a process that was frozen holds none. */
    public Optional<Long> leadingEpoch() {
        replication.advanceClock(loop.nowMs());
        return replication.leadingEpoch();
    }

    /**
     * The epoch that this process leads if at this moment no other process can take itself for the primary: a process
     * that was frozen gets none.
     */
    public Optional<Long> soleAuthorityEpoch() {
        return replication.soleAuthorityEpoch(loop.nowMs());
    }

    /** The state of the replicated configuration at this moment. */
    public ReplicationReport replicationReport() {
        replication.advanceClock(loop.nowMs());
        return replication.report();
    }

    /** What was granted to each tenant with a limit, while this process decides on that. */
    List<TenantUsage> tenantUsage() {
        return limits.usage();
    }

    /** The last event of the replication. */
    public String lastEvent() {
        return configurations.lastEvent();
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
