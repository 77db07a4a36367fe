package pinewick.replication;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.InstallSnapshot;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.RecordChosen;
import pinewick.replication.ReplicationMessages.Rejection;
import pinewick.replication.ReplicationMessages.RelabelState;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.ReplicationReply;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.ShutdownPermitted;
import pinewick.replication.ReplicationMessages.Status;

/**
 * One controller's replica of the configuration, by primary-backup replication with a separate configuration manager
 * (Lin and others, "PacificA", 2008). It is always a witness ({@link Witness}), receives states as a follower ({@link
 * StateReceiver}), and may be the primary ({@link PrimaryRole}). Dispatches each message to the class that handles it,
 * then makes whatever progress has become possible. Not thread-safe: the control loop calls every method and runs every
 * completion of the disk.
 */
public final class ReplicationNode implements ReplicatedConfiguration {
    /** Interval at which {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = 50;

    private final Startup startup;
    private final ActiveClock clock = new ActiveClock();
    private final GracefulShutdown shutdown = new GracefulShutdown();
    private final Peers peers;
    private final DurableState durable;
    private final ReplicationContext context;
    private final Witness witness;
    private final StateReceiver receiver;
    private final Election election;
    private final PrimaryLocator primaryLocator;
    private final PrimaryHeartbeatHandler heartbeatHandler;
    private final EpochProposer proposer;
    private final PrimaryRole primaryRole;
    private final StatusExchange statusExchange;
    private final CommitNotifier commitNotifier;
    private final StaleDiskCheck staleDiskCheck;
    private boolean advancing;
    private boolean advanceRequested;

    /**
     * @param settings settings of this process
     * @param store its disk
     * @param outbox takes messages to other controllers
     * @param random source of randomness, seeded by the caller; identities are drawn from it
     * @param listener notified of committed configurations
     */
    public ReplicationNode(
            ReplicationSettings settings,
            StableStore store,
            Outbox outbox,
            RandomGenerator random,
            ReplicationListener listener) {
        this.peers = new Peers(settings.address(), settings.seeds(), outbox);
        this.durable = new DurableState(store, clock, this::advance);
        this.context =
                new ReplicationContext(settings, clock, durable, peers, new RequestIds(random), random, listener);
        this.startup = new Startup(context, store, this::joinQuorum);
        this.witness = new Witness(context, this::hasPrimaryContact, shutdown::isStarted);
        this.receiver = new StateReceiver(context);
        this.election = new Election(context);
        this.primaryLocator = new PrimaryLocator(clock, durable);
        this.heartbeatHandler = new PrimaryHeartbeatHandler(context, shutdown, primaryLocator);
        this.commitNotifier = new CommitNotifier(context);
        this.staleDiskCheck = new StaleDiskCheck(context);
        EpochPlanner planner = new EpochPlanner(context);
        this.proposer = new EpochProposer(context, planner, election);
        this.primaryRole = new PrimaryRole(
                context, shutdown, planner, proposer, election, primaryLocator, heartbeatHandler, commitNotifier);
        this.statusExchange =
                new StatusExchange(context, primaryRole, proposer, election, primaryLocator, staleDiskCheck);
    }

    /** Starts: reads the disk, then joins the quorum. */
    public void start(double nowMs) {
        clock.advance(nowMs);
        startup.load();
    }

    private void joinQuorum() {
        election.restart(0);
        context.listener()
                .onEvent("store " + durable.identity() + " loaded at "
                        + durable.state().version());
        statusExchange.requestStatus();
        advance();
    }

    /** Replaces the internal addresses of controllers that this process knows from gossip. */
    public void setKnownControllers(Collection<SocketAddress> addresses) {
        peers.setKnownControllers(addresses);
    }

    /** Sends what is due, and expires what has timed out. Called every {@link #TICK_MS}. */
    public void onTick(double nowMs) {
        clock.advance(nowMs);
        if (!startup.isReady()) {
            startup.onTick();
            return;
        }
        durable.onTick();
        proposer.onTick();
        primaryRole.onTick();
        statusExchange.requestStatus();
        advance();
    }

    /**
     * Handles a message if it is one of {@link ReplicationMessages}, and returns whether it is. Such messages are
     * dropped until the startup is complete.
     */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        clock.advance(nowMs);
        if (!startup.isReady()) {
            return message.getClass().getEnclosingClass() == ReplicationMessages.class;
        }
        boolean handled = handleAsWitness(sender, message)
                || handleAsFollower(sender, message)
                || handleAsProposer(sender, message);
        if (handled) {
            advance();
        }
        return handled;
    }

    private boolean handleAsWitness(SocketAddress sender, Message message) {
        if (message instanceof Prepare prepare) {
            if (prepare.number().counter() > durable.promised().counter()) {
                election.onVoteGranted();
            }
            witness.onPrepare(sender, prepare);
        } else if (message instanceof Accept accept) {
            election.onVoteGranted();
            witness.onAccept(sender, accept);
        } else if (message instanceof RecordChosen chosen) {
            staleDiskCheck.onRecord(chosen.record());
            onEpochObserved(chosen.record().number());
            witness.onRecordChosen(chosen, this::notifyPrimary);
        } else if (message instanceof Status status) {
            statusExchange.onStatus(sender, status);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleAsFollower(SocketAddress sender, Message message) {
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(sender, heartbeat);
        } else if (message instanceof RelabelState relabel) {
            onEpochObserved(relabel.number());
            receiver.onRelabelState(sender, relabel);
        } else if (message instanceof InstallSnapshot install) {
            onEpochObserved(install.number());
            receiver.onInstallSnapshot(sender, install);
        } else if (message instanceof Replicate replicate) {
            onEpochObserved(replicate.number());
            StateVersion current = durable.state().version();
            if (current.next().equals(replicate.stateVersion())) {
                commitNotifier.onCommitted(current);
            }
            receiver.onReplicate(sender, replicate);
        } else if (message instanceof ShutdownPermitted permitted) {
            shutdown.onPermitted(permitted.number());
        } else if (message instanceof Resign resign) {
            onResign(resign);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleAsProposer(SocketAddress sender, Message message) {
        if (message instanceof Promise promise) {
            peers.recordAddress(promise.self().identity(), sender);
            proposer.onPromise(promise);
        } else if (message instanceof Accepted accepted) {
            proposer.onAccepted(accepted);
        } else if (message instanceof Rejection rejection) {
            proposer.onRejection(rejection);
        } else if (message instanceof HeartbeatReply reply) {
            peers.recordAddress(reply.self().identity(), sender);
            primaryRole.onHeartbeatReply(reply);
        } else if (message instanceof ReplicationReply reply) {
            primaryRole.onReplicationReply(reply);
        } else {
            return false;
        }
        return true;
    }

    private void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        staleDiskCheck.onCommitted(heartbeat.number(), heartbeat.committed());
        if (!primaryLocator.hasResigned(heartbeat.number()) && onEpochObserved(heartbeat.number())) {
            heartbeatHandler.onHeartbeat(sender, heartbeat);
            commitNotifier.onCommitted(heartbeat.committed());
        }
        heartbeatHandler.reply(sender, heartbeat);
    }

    /**
     * A message of a primary arrived. Returns whether its epoch is current, that is, no higher number was promised
     * here.
     */
    private boolean onEpochObserved(EpochNumber number) {
        if (durable.promised().isAfter(number)) {
            return false;
        }
        primaryRole.onEpochObserved(number);
        if (!primaryRole.isLeading()) {
            proposer.cancelUpTo(number);
            election.onPrimaryContact();
        }
        return true;
    }

    private void notifyPrimary() {
        if (!primaryRole.isLeading()) {
            heartbeatHandler.replyAgain();
        }
    }

    private void onResign(Resign resign) {
        if (primaryRole.isLeading() || durable.promised().isAfter(resign.number())) {
            return;
        }
        primaryLocator.onResigned(resign.number());
        election.onPrimaryResigned();
        if (resign.successor().equals(durable.identity()) && canStandForElection() && !proposer.isProposing()) {
            proposer.proposeElection(true, resign.shuttingDown());
        }
    }

    /**
     * Makes whatever progress is possible now. Not reentrant: a call from within a callback makes the outer call run
     * once more.
     */
    private void advance() {
        advanceRequested = true;
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (advanceRequested) {
                advanceRequested = false;
                advanceOnce();
            }
        } finally {
            advancing = false;
        }
    }

    private void advanceOnce() {
        if (!startup.isReady()) {
            return;
        }
        proposer.takeChosen().ifPresent(primaryRole::startEpoch);
        if (primaryRole.isLeading()) {
            primaryRole.advance();
        } else if (!proposer.isProposing() && canStandForElection() && election.isDue()) {
            proposer.proposeElection(false, false);
        }
    }

    private boolean canStandForElection() {
        return !shutdown.isStarted() && durable.isHealthy() && durable.isIdentityDurable();
    }

    private boolean hasPrimaryContact() {
        return primaryRole.isLeading() ? primaryRole.isRecentlyConfirmed() : election.hasPrimaryContact();
    }

    /** The status of this process, not in reply to a request. */
    Status status(boolean replyRequested) {
        return statusExchange.status(RequestId.NONE, replyRequested);
    }

    /**
     * Begins a graceful shutdown: resigns in favour of a successor if this process is the primary, and has this store
     * taken out of the in-sync set.
     */
    public void beginShutdown(double nowMs) {
        clock.advance(nowMs);
        shutdown.start(clock.activeMs());
        notifyPrimary();
        advance();
    }

    /**
     * Whether the process may end after {@link #beginShutdown}: the primary of the newest epoch that this process knows
     * has permitted it. A permit of an earlier epoch does not count, as the later one may need this store again.
     */
    public boolean isDetached() {
        return !primaryRole.isLeading() && shutdown.isPermittedIn(durable.promised());
    }

    @Override
    public void advanceClock(double nowMs) {
        clock.advance(nowMs);
    }

    @Override
    public void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        if (!primaryRole.isLeading() || shutdown.isStarted()) {
            callback.accept(new ChangeOutcome.NotPrimary(primary()));
            return;
        }
        primaryRole.submit(change, callback);
        advance();
    }

    @Override
    public void read(Consumer<ReadOutcome> callback) {
        if (!primaryRole.isLeading()) {
            callback.accept(new ReadOutcome.NotPrimary(primary()));
            return;
        }
        primaryRole.read(callback);
        advance();
    }

    @Override
    public Optional<SocketAddress> primary() {
        return primaryRole.isLeading() ? Optional.of(context.settings().operatorApi()) : primaryLocator.operatorApi();
    }

    /**
     * Whether this process is a primary whose lease is valid, or recently had contact with the primary and has notified
     * its listener of every configuration that the primary had acknowledged by then.
     */
    public boolean isUpToDate() {
        return primaryRole.isLeading()
                ? primaryRole.isLeaseValid()
                : heartbeatHandler
                        .currentCommittedVersion()
                        .filter(commitNotifier::hasNotified)
                        .isPresent();
    }

    /**
     * While this process is the primary: the latest time, in steady milliseconds, up to which it can prove that no
     * configuration was acknowledged that it has not put in force; empty otherwise. It is the sending time of the
     * newest heartbeat that a quorum has answered, as for linearizable reads. Unlike the lease, which extends beyond
     * that time, it does not depend on the time-out of any other process.
     */
    public OptionalDouble configurationConfirmedAtMs() {
        boolean isInForce = primaryRole
                .epoch()
                .filter(epoch -> commitNotifier.hasNotified(epoch.committed().version()))
                .isPresent();
        return isInForce ? primaryRole.confirmedSteadyMs() : OptionalDouble.empty();
    }

    /**
     * The counter of the epoch that this process leads, if it holds the lease at this moment and the lease of every
     * earlier primary has expired; empty otherwise. At any time at most one process gets a value.
     */
    public Optional<Long> soleAuthorityEpoch(double nowMs) {
        clock.advance(nowMs);
        return primaryRole.soleAuthorityEpoch();
    }

    /**
     * Identifies the uninterrupted period in which this process has been the only one with a {@link
     * #soleAuthorityEpoch}; empty if it has none at this moment. The value stays the same when a primary reconfigures
     * its own epoch.
     */
    public Optional<Long> soleAuthorityTenure(double nowMs) {
        clock.advance(nowMs);
        return primaryRole.soleAuthorityTenure();
    }

    /** The replicated configuration as this process sees it, for operators. */
    public ReplicationReport report() {
        return primaryRole.report(primary());
    }

    /**
     * Counter of the epoch that this process believes to lead, whether or not it is established or its lease is valid;
     * empty if it is not primary.
     */
    Optional<Long> leadingNumber() {
        return primaryRole.epoch().map(epoch -> epoch.number().counter());
    }

    @Override
    public Optional<Long> leadingEpoch() {
        return primaryRole.leadingEpoch();
    }
}
