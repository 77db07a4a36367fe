package pinewick.control;

import com.google.common.flogger.FluentLogger;
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
import pinewick.replication.ReplicationNode;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationSettings;
import pinewick.replication.StableStore;

/**
 * A controller without its sockets, threads and disk: the replicated configuration, the fleet, the replica registry
 * and the calls of the HTTP API, put together. Whoever owns it hands in time, messages and calls; the process does so
 * over the network, and a simulation in virtual time. Owned by the control loop, but for the calls, which any thread
 * may make.
 */
public final class ControllerCore {
    /** How often {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = FleetNode.TICK_MS;

    /** How often {@link #onHousekeeping} is to be called, milliseconds. */
    public static final int HOUSEKEEPING_MS = Housekeeping.PERIOD_MS;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Settings settings;
    private final TaskLoop loop;
    private final FleetState state = new FleetState();
    private final RegistryCounters counters = new RegistryCounters();
    private final ControllerContact contact;
    private final FleetNode node;
    private final ReplicationNode replication;
    private final CommittedConfigurations configurations;
    private final GossipFleet fleet;
    private final Housekeeping housekeeping;
    private final ReplicaEndpoints replicaEndpoints;
    private final ConfigurationEndpoints configurationEndpoints;
    private boolean left;

    /**
     * What a controller is told.
     *
     * @param self this process as the fleet knows it
     * @param replication of the replicated configuration; its seeds are also those of the fleet
     * @param contactMs after how long without other controllers this process counts as cut off
     * @param heartbeatMs how often a replica sends heartbeats
     */
    public record Settings(NodeDescriptor self, ReplicationSettings replication, int contactMs, int heartbeatMs) {}

    /**
     * @param loop owns this object
     * @param store the disk of this process
     * @param outbox takes messages to other processes
     * @param fleetRandom chance of membership and dissemination
     * @param replicationRandom chance of the replicated configuration
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
        this.contact = new ControllerContact(loop.nowMs());
        ReplicationSettings ofReplication = settings.replication();
        node = new FleetNode(settings.self(), ofReplication.seeds(), state, outbox, fleetRandom);
        configurations = new CommittedConfigurations(state, node, loop);
        replication = new ReplicationNode(ofReplication, store, outbox, replicationRandom, configurations);
        fleet = new GossipFleet(node, state, loop);
        ReplicaRegistry registry = new ReplicaRegistry(fleet, loop, contact, settings.contactMs(), counters);
        LivenessJudge judge = new LivenessJudge(settings.heartbeatMs(), settings.contactMs(), loop.nowMs());
        housekeeping = new Housekeeping(fleet, registry, judge, counters, replication::setKnownControllers, loop);
        replicaEndpoints = new ReplicaEndpoints(registry, loop);
        configurationEndpoints =
                new ConfigurationEndpoints(replication, loop, ofReplication.operatorApi(), ofReplication.ackMs());
    }

    /** Begins: reads the disk and takes part. */
    public void start() {
        replication.start(loop.nowMs());
    }

    /** Time has passed. */
    public void onTick() {
        if (!left) {
            node.onTick(loop.nowMs());
        }
        replication.onTick(loop.nowMs());
        if (replication.isUpToDate()) {
            contact.quorumConfirmed(loop.nowMs());
            node.confirmConfiguration(loop.nowMs());
        }
    }

    /** Looks after what needs no more than a look now and then. */
    public void onHousekeeping() {
        housekeeping.run();
    }

    /** Handles a message of another process. */
    public void onMessage(SocketAddress sender, Message message) {
        double nowMs = loop.nowMs();
        if (sender.port() == settings.self().address().port()) {
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

    /** This process is about to end: hands leadership over, and leaves the in-sync set. */
    public void leaveReplication() {
        replication.beginShutdown(loop.nowMs());
    }

    /** After {@link #leaveReplication}: whether the other controllers can do without this one by now. */
    public boolean detached() {
        return replication.isDetached();
    }

    /** Comes last: a process that still answers its peers would be taken for one that has come back. */
    public void leaveFleet() {
        left = true;
        node.leave(loop.nowMs());
    }

    /** {@code POST /config/replace}. */
    public void replaceConfiguration(ApiCall call, Consumer<ApiAnswer> answer) {
        configurationEndpoints.replace(call, answer);
    }

    /** {@code POST /config/update}. */
    public void updateConfiguration(ApiCall call, Consumer<ApiAnswer> answer) {
        configurationEndpoints.update(call, answer);
    }

    /** {@code GET /config/read}. */
    public void readConfiguration(ApiCall call, Consumer<ApiAnswer> answer) {
        configurationEndpoints.read(call, answer);
    }

    /** {@code POST /instances/ID/heartbeat}. */
    public void heartbeat(ApiCall call, Consumer<ApiAnswer> answer) {
        replicaEndpoints.heartbeat(call, answer);
    }

    /** {@code POST /instances/ID/deregister}. */
    public void deregister(ApiCall call, Consumer<ApiAnswer> answer) {
        replicaEndpoints.deregister(call, answer);
    }

    /** The configuration in force and the replicas, as far as this process knows. */
    public FleetState state() {
        return state;
    }

    /** Operator API of the primary that this process knows, which may be itself. */
    public Optional<SocketAddress> primary() {
        return replication.primary();
    }

    /** The epoch whose lease this process holds, judged by the time of now: a process that was frozen holds none. */
    public Optional<Long> leadingEpoch() {
        replication.advanceClock(loop.nowMs());
        return replication.leadingEpoch();
    }

    /** What the replicated configuration says of itself at this moment. */
    public ReplicationReport replicationReport() {
        replication.advanceClock(loop.nowMs());
        return replication.report();
    }

    /** What the replication noted last, for the log. */
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
