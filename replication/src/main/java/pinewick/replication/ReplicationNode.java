package pinewick.replication;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pinewick.model.Message;
import pinewick.model.Outbox;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Established;
import pinewick.replication.ReplicationMessages.Heartbeat;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.Install;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Refusal;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.Retag;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.Status;

/**
 * One controller's part in the replicated configuration: witness always, replica while in sync, primary at times. Hands
 * each message to the part that it is for, then does what has become possible. Owned by the control loop, which calls
 * every method and runs every completion of the store.
 */
public final class ReplicationNode implements ReplicatedConfiguration {
    /** How often {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = 50;

    private final Startup startup;
    private final ActiveClock clock = new ActiveClock();
    private final Departure departure = new Departure();
    private final Peers peers;
    private final DurableState durable;
    private final Context context;
    private final Witness witness;
    private final StateReceiver receiver;
    private final Election election;
    private final KnownPrimary knownPrimary;
    private final PrimaryListener primaryListener;
    private final Proposals proposals;
    private final Primary primary;
    private final StatusExchange statusExchange;
    private final CommitReport commitReport;
    private final OldCopyCheck oldCopyCheck;
    private boolean advancing;
    private boolean advanceWanted;

    /**
     * @param settings what this process is told
     * @param store its disk
     * @param outbox takes messages to other controllers
     * @param random source of chance, seeded by the caller; identities are drawn from it
     * @param listener told of committed configurations
     */
    public ReplicationNode(
            ReplicationSettings settings,
            StableStore store,
            Outbox outbox,
            RandomGenerator random,
            ReplicationListener listener) {
        this.peers = new Peers(settings.address(), settings.seeds(), outbox);
        this.durable = new DurableState(store, clock, this::advance);
        this.context = new Context(settings, clock, durable, peers, new Requests(random), random, listener);
        this.startup = new Startup(context, store, this::takePart);
        this.witness = new Witness(context, this::hearsPrimary, departure::isBegun);
        this.receiver = new StateReceiver(context);
        this.election = new Election(context);
        this.knownPrimary = new KnownPrimary(clock, durable);
        this.primaryListener = new PrimaryListener(context, departure, knownPrimary);
        this.commitReport = new CommitReport(context);
        this.oldCopyCheck = new OldCopyCheck(context);
        EpochPlanner planner = new EpochPlanner(context);
        this.proposals = new Proposals(context, planner, election);
        this.primary = new Primary(
                context, departure, planner, proposals, election, knownPrimary, primaryListener, commitReport);
        this.statusExchange = new StatusExchange(context, primary, proposals, election, knownPrimary, oldCopyCheck);
    }

    /** Begins: reads the disk, then takes part. */
    public void start(double nowMs) {
        clock.advance(nowMs);
        startup.begin();
    }

    private void takePart() {
        election.restart(0);
        context.listener()
                .noted("store " + durable.identity() + " holds "
                        + durable.state().tag());
        statusExchange.askAround();
        advance();
    }

    /** Other parts of this process know controllers at these internal addresses. */
    public void knownControllers(Collection<SocketAddress> addresses) {
        peers.tell(addresses);
    }

    /** Time has passed. */
    public void onTick(double nowMs) {
        clock.advance(nowMs);
        if (!startup.ready()) {
            startup.onTick();
            return;
        }
        durable.onTick();
        proposals.onTick();
        primary.onTick();
        statusExchange.askAround();
        advance();
    }

    /** Handles a message if it is of replication; returns whether it was. */
    public boolean onMessage(SocketAddress sender, Message message, double nowMs) {
        clock.advance(nowMs);
        if (!startup.ready()) {
            return message.getClass().getEnclosingClass() == ReplicationMessages.class;
        }
        boolean handled = handleAsWitness(sender, message)
                || handleAsReplica(sender, message)
                || handleAsProposer(sender, message);
        if (handled) {
            advance();
        }
        return handled;
    }

    private boolean handleAsWitness(SocketAddress sender, Message message) {
        if (message instanceof Prepare prepare) {
            if (prepare.number().counter() > durable.promised().counter()) {
                election.granted();
            }
            witness.onPrepare(sender, prepare);
        } else if (message instanceof Accept accept) {
            election.granted();
            witness.onAccept(sender, accept);
        } else if (message instanceof Established established) {
            oldCopyCheck.onRecord(established.record());
            heardOf(established.record().number());
            witness.onEstablished(established, this::tellPrimary);
        } else if (message instanceof Status status) {
            statusExchange.onStatus(sender, status);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleAsReplica(SocketAddress sender, Message message) {
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(sender, heartbeat);
        } else if (message instanceof Retag retag) {
            heardOf(retag.number());
            receiver.onRetag(sender, retag);
        } else if (message instanceof Install install) {
            heardOf(install.number());
            receiver.onInstall(sender, install);
        } else if (message instanceof Replicate replicate) {
            heardOf(replicate.number());
            StateTag held = durable.state().tag();
            if (held.next().equals(replicate.tag())) {
                commitReport.onCommitted(held);
            }
            receiver.onReplicate(sender, replicate);
        } else if (message instanceof Resign resign) {
            onResign(resign);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleAsProposer(SocketAddress sender, Message message) {
        if (message instanceof Promise promise) {
            peers.learn(promise.self().identity(), sender);
            proposals.onPromise(promise);
        } else if (message instanceof Accepted accepted) {
            proposals.onAccepted(accepted);
        } else if (message instanceof Refusal refusal) {
            proposals.onRefusal(refusal);
        } else if (message instanceof HeartbeatReply reply) {
            peers.learn(reply.self().identity(), sender);
            primary.onHeartbeatReply(reply);
        } else if (message instanceof StateReply reply) {
            primary.onStateReply(reply);
        } else {
            return false;
        }
        return true;
    }

    private void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        oldCopyCheck.onCommitted(heartbeat.number(), heartbeat.committed());
        if (!knownPrimary.hasResigned(heartbeat.number()) && heardOf(heartbeat.number())) {
            primaryListener.onHeartbeat(sender, heartbeat);
            commitReport.onCommitted(heartbeat.committed());
        }
        primaryListener.answer(sender, heartbeat);
    }

    /** A primary of some epoch showed itself; returns whether its epoch is not over here. */
    private boolean heardOf(EpochNumber number) {
        if (durable.promised().isAfter(number)) {
            return false;
        }
        primary.onEpoch(number);
        if (!primary.leads()) {
            proposals.giveUpUpTo(number);
            election.heard();
        }
        return true;
    }

    private void tellPrimary() {
        if (!primary.leads()) {
            primaryListener.answerAgain();
        }
    }

    private void onResign(Resign resign) {
        if (primary.leads() || durable.promised().isAfter(resign.number())) {
            return;
        }
        knownPrimary.onResigned(resign.number());
        election.onPrimaryGone();
        if (resign.successor().equals(durable.identity()) && mayStand() && !proposals.isUnderWay()) {
            proposals.stand(true, resign.leaving());
        }
    }

    /** Does whatever can be done now. A callback that calls in here again is served after it. */
    private void advance() {
        advanceWanted = true;
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (advanceWanted) {
                advanceWanted = false;
                advanceOnce();
            }
        } finally {
            advancing = false;
        }
    }

    private void advanceOnce() {
        if (!startup.ready()) {
            return;
        }
        proposals.takeWon().ifPresent(primary::begin);
        if (primary.leads()) {
            primary.advance();
        } else if (!proposals.isUnderWay() && mayStand() && election.isDue()) {
            proposals.stand(false, false);
        }
    }

    private boolean mayStand() {
        return !departure.isBegun() && durable.ready() && durable.identityStored();
    }

    private boolean hearsPrimary() {
        return primary.leads() ? primary.isConfirmedLately() : election.hearsPrimary();
    }

    /** What this process knows, in answer to nothing. */
    Status status(boolean answerWanted) {
        return statusExchange.status(RequestId.NONE, answerWanted);
    }

    /** This process is about to end: hands leadership over, and leaves the in-sync set. */
    public void leave(double nowMs) {
        clock.advance(nowMs);
        departure.begin(clock.activeMs());
        tellPrimary();
        advance();
    }

    /** After {@link #leave}: whether the others can do without this process by now. */
    public boolean detached() {
        EpochRecord accepted = durable.accepted();
        boolean outside = !accepted.inSync().contains(durable.identity());
        boolean certain = primaryListener.isKnownToStand(accepted) || !accepted.hasMember(durable.identity());
        return !primary.leads() && outside && certain;
    }

    @Override
    public void advanceClock(double nowMs) {
        clock.advance(nowMs);
    }

    @Override
    public void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        if (!primary.leads() || departure.isBegun()) {
            callback.accept(new ChangeOutcome.NotPrimary(primary()));
            return;
        }
        primary.submit(change, callback);
        advance();
    }

    @Override
    public void read(Consumer<ReadOutcome> callback) {
        if (!primary.leads()) {
            callback.accept(new ReadOutcome.NotPrimary(primary()));
            return;
        }
        primary.read(callback);
        advance();
    }

    @Override
    public Optional<SocketAddress> primary() {
        return primary.leads() ? Optional.of(context.settings().operatorApi()) : knownPrimary.operatorApi();
    }

    /**
     * Whether this process is in contact with a quorum, as its confirmed primary or by hearing one, and has told its
     * listener of every configuration that this primary had acknowledged when it was heard last.
     */
    public boolean holdsNewest() {
        return primary.leads()
                ? primary.isSurelyLeading()
                : primaryListener.committedNow().filter(commitReport::covers).isPresent();
    }

    /** What this process knows, for the people who run it. */
    public ReplicationReport report() {
        return primary.report(primary());
    }

    /** The epoch that this process leads or believes to lead, whether or not it has begun. */
    Optional<Long> leadingNumber() {
        return primary.leadership().map(leading -> leading.number().counter());
    }

    @Override
    public Optional<Long> leadingEpoch() {
        return primary.leadingEpoch();
    }
}
