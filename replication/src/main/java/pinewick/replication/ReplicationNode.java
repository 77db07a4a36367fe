package pinewick.replication;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import pinewick.replication.ReplicationMessages.PrimarySighting;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Refusal;
import pinewick.replication.ReplicationMessages.Replicate;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.Retag;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.Status;

/**
 * One controller's part in the replicated configuration: witness always, replica while in sync, primary at times.
 * Owned by the control loop, which calls every method and runs every completion of the store.
 */
public final class ReplicationNode implements ReplicatedConfiguration {
    /** How often {@link #onTick} is to be called, milliseconds. */
    public static final int TICK_MS = 50;

    /** So long before {@code ack_ms} a change that is not decided is answered. */
    private static final double ANSWER_MARGIN_MS = 500;

    private static final double READ_MS = 2_000;

    /** After a trouble of its own, this process leaves the election to others for this long. */
    private static final double AFTER_TROUBLE_MS = 1_000;

    /** A primary that is about to end waits this long for a change under way. */
    private static final double HAND_OVER_MS = 500;

    private static final double CHANGE_PAUSE_MS = 150;
    private static final double LEASE_MARGIN_MS = 100;

    private final ReplicationSettings settings;
    private final Startup startup;
    private final ActiveClock clock = new ActiveClock();
    private final Peers peers;
    private final DurableState durable;
    private final Context context;
    private final Witness witness;
    private final StateReceiver receiver;
    private final Election election;
    private final KnownPrimary knownPrimary;
    private final EpochPlanner planner;
    private final Replicas replicas;
    private final ChangeQueue changes = new ChangeQueue();
    private final ReadQueue reads = new ReadQueue();
    private final PrimaryRole primaryRole;
    private final CommitReport commitReport;
    private final FaultToleranceMonitor toleranceMonitor;
    private Optional<Leadership> leadership = Optional.empty();
    private Optional<Ballot> ballot = Optional.empty();
    private boolean advancing;
    private boolean advanceWanted;
    private boolean leaving;
    private double leavingSinceMs;
    private double nextChangeMs;
    private double leaseFromMs = Double.POSITIVE_INFINITY;
    private long counterToBeat;
    private SocketAddress primaryAddress = ReplicationMessages.NO_ADDRESS;
    private Heartbeat lastHeartbeat;

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
        this.settings = settings;
        this.peers = new Peers(settings.address(), settings.seeds(), outbox);
        this.durable = new DurableState(store, clock, this::advance);
        this.context = new Context(settings, clock, durable, peers, random, listener);
        this.startup = new Startup(context, store, this::takePart);
        this.witness = new Witness(context, this::hearsPrimary, () -> leaving);
        this.receiver = new StateReceiver(context);
        this.election = new Election(context);
        this.knownPrimary = new KnownPrimary(clock, durable);
        this.planner = new EpochPlanner(context);
        this.replicas = new Replicas(context);
        this.commitReport = new CommitReport(context);
        this.toleranceMonitor = new FaultToleranceMonitor(context, replicas);
        this.primaryRole = new PrimaryRole(commitReport, changes, reads);
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
        askAround();
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
        ballot.ifPresent(Ballot::onTick);
        leadership.ifPresent(Leadership::onTick);
        askAround();
        changes.expire(nowMs);
        reads.expire(nowMs);
        advance();
    }

    /** While no primary is heard, asks the others what they know. */
    private void askAround() {
        if (leadership.isEmpty() && ballot.isEmpty() && election.asksNow()) {
            peers.send(peers.everywhere(durable.accepted()), status(true));
        }
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
            heardOf(established.record().number());
            witness.onEstablished(established);
        } else if (message instanceof Status status) {
            onStatus(sender, status);
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
            ballot.ifPresent(current -> current.onPromise(promise));
        } else if (message instanceof Accepted accepted) {
            ballot.ifPresent(current -> current.onAccepted(accepted));
        } else if (message instanceof Refusal refusal) {
            ballot.ifPresent(current -> current.onRefusal(refusal));
        } else if (message instanceof HeartbeatReply reply) {
            peers.learn(reply.self().identity(), sender);
            onHeartbeatReply(reply);
        } else if (message instanceof StateReply reply) {
            leadership.ifPresent(leading -> leading.onStateReply(reply));
        } else {
            return false;
        }
        return true;
    }

    private void onStatus(SocketAddress sender, Status status) {
        peers.learn(status.self().identity(), sender);
        election.onStatus(status);
        if (election.isDenial(status)) {
            knownPrimary.denied();
        } else {
            knownPrimary.told(status.primary());
        }
        learnMembers(status.accepted());
        if (status.answerWanted()) {
            peers.send(sender, status(false));
            leadership.ifPresent(leading -> leading.onStatus(status));
        }
    }

    /** A store whose seeds are all gone finds the primary through any controller that it reaches. */
    private void learnMembers(EpochRecord record) {
        long unknown = record.members().stream().filter(peers::learnMember).count();
        if (unknown > 0) {
            election.askSoon();
            askAround();
        }
    }

    private void onHeartbeat(SocketAddress sender, Heartbeat heartbeat) {
        if (!knownPrimary.hasResigned(heartbeat.number()) && heardOf(heartbeat.number())) {
            knownPrimary.heard(heartbeat.number(), heartbeat.operatorApi());
            lastHeartbeat = heartbeat;
            primaryAddress = sender;
            commitReport.onCommitted(heartbeat.committed());
        }
        peers.send(sender, heartbeatReply(heartbeat));
    }

    /** A primary of some epoch showed itself; returns whether its epoch is not over here. */
    private boolean heardOf(EpochNumber number) {
        if (durable.promised().isAfter(number)) {
            return false;
        }
        if (leadership.isPresent() && number.isAfter(leadership.get().number())) {
            stepDown("epoch " + number.counter() + " has begun", 0);
        }
        if (leadership.isEmpty()) {
            ballot = ballot.filter(current -> current.number().isAfter(number));
            election.heard();
        }
        return true;
    }

    private HeartbeatReply heartbeatReply(Heartbeat heartbeat) {
        return new HeartbeatReply(
                heartbeat.number(),
                heartbeat.round(),
                context.self(),
                durable.promised(),
                durable.accepted().number(),
                durable.accepted().isSettled(),
                durable.state().tag(),
                leaving,
                durable.ready());
    }

    private void onHeartbeatReply(HeartbeatReply reply) {
        if (leadership.isEmpty()) {
            return;
        }
        leadership.get().onHeartbeatReply(reply);
        if (reply.accepted().isAfter(leadership.get().number()) && ballot.isEmpty()) {
            stepDown("epoch " + reply.accepted().counter() + " was accepted elsewhere", 0);
        }
    }

    private void onResign(Resign resign) {
        if (leadership.isPresent() || durable.promised().isAfter(resign.number())) {
            return;
        }
        knownPrimary.onResigned(resign.number());
        election.onPrimaryGone();
        if (resign.successor().equals(durable.identity()) && mayStand() && ballot.isEmpty()) {
            stand(true, resign.leaving());
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
        endBallot();
        if (leadership.isPresent()) {
            lead(leadership.get());
        } else if (ballot.isEmpty() && mayStand() && election.isDue()) {
            stand(false, false);
        }
    }

    private boolean mayStand() {
        return !leaving && durable.ready() && durable.identityStored();
    }

    /**
     * @param handedOver whether the former primary asked for it
     * @param formerPromises whether the former primary too is likely to promise
     */
    private void stand(boolean handedOver, boolean formerPromises) {
        long counter = Math.max(election.nextCounter(), counterToBeat + 1);
        String former = durable.accepted().primary();
        Set<String> wanted = Set.copyOf(durable.accepted().inSync().stream()
                .filter(identity -> formerPromises || !identity.equals(former))
                .toList());
        startBallot(new Ballot(
                context, new EpochNumber(counter, durable.identity()), handedOver, planner::planElection, wanted));
    }

    private void startBallot(Ballot started) {
        ballot = Optional.of(started);
        context.listener().noted("proposes epoch " + started.number().counter());
        started.start();
    }

    private void endBallot() {
        if (ballot.isEmpty()) {
            return;
        }
        Ballot current = ballot.get();
        if (current.phase() == Ballot.Phase.WON) {
            ballot = Optional.empty();
            begin(current);
        } else if (current.phase() == Ballot.Phase.LOST) {
            ballot = Optional.empty();
            context.listener()
                    .noted("lost the ballot for epoch " + current.number().counter());
            counterToBeat = Math.max(counterToBeat, current.highestRefusal().counter());
            nextChangeMs = clock.activeMs() + CHANGE_PAUSE_MS * context.random().nextDouble();
            election.onLost();
        }
    }

    private void begin(Ballot won) {
        boolean sameHolder = leadership.isPresent();
        if (!sameHolder) {
            countSilenceFromNow(won);
            leaseFromMs = clock.steadyMs() + Leadership.LEASE_VALID_MS + settings.leaseMs() + LEASE_MARGIN_MS;
        }
        won.promises().values().forEach(promise -> {
            Replica replica = replicas.learn(promise.self());
            if (replica != null) {
                replica.onPromise(promise, clock.activeMs());
            }
        });
        Leadership begun = new Leadership(context, won.proposal(), replicas);
        leadership = Optional.of(begun);
        changes.restart();
        reads.restart();
        context.listener()
                .noted("leads epoch " + begun.number().counter() + ", in sync "
                        + begun.record().inSync());
        begun.begin();
    }

    /** Of the members only the former primary was listened for until now. */
    private void countSilenceFromNow(Ballot won) {
        String formerPrimary =
                lastHeartbeat == null ? "" : lastHeartbeat.number().proposer();
        for (Member member : won.proposal().members()) {
            Replica replica = replicas.learn(member);
            if (replica != null) {
                boolean former = member.identity().equals(formerPrimary);
                replica.heardLast(former ? election.lastHeardMs() : clock.activeMs());
            }
        }
    }

    private void lead(Leadership leading) {
        if (leading.lost()) {
            resign(leading);
            return;
        }
        primaryRole.noteCommitted(leading);
        if (!leaving && ballot.isEmpty() && clock.activeMs() >= nextChangeMs) {
            planner.wantedChange(leading, replicas).ifPresent(wanted -> change(leading, wanted));
        }
        primaryRole.advance(leading, ballot.isEmpty() && !leaving);
        toleranceMonitor.update(leading);
        if (leaving) {
            handOver(leading);
        }
    }

    private void change(Leadership leading, Set<String> wanted) {
        long counter = Math.max(durable.promised().counter(), counterToBeat);
        for (Replica replica : replicas.all()) {
            counter = Math.max(counter, replica.promised().counter());
        }
        startBallot(new Ballot(
                context,
                new EpochNumber(counter + 1, durable.identity()),
                true,
                (number, highest, promises) -> planner.planChange(number, highest, promises, leading, replicas),
                wanted));
    }

    private void handOver(Leadership leading) {
        boolean patient = clock.activeMs() - leavingSinceMs < HAND_OVER_MS;
        if (ballot.isPresent() || (leading.changePending() && patient)) {
            return;
        }
        resign(leading);
    }

    private void resign(Leadership leading) {
        List<Replica> others = replicas.among(leading.responsive());
        String successor = others.stream()
                .filter(replica -> replica.tag().equals(leading.target()))
                .findFirst()
                .or(() -> others.stream().findFirst())
                .map(Replica::identity)
                .orElse("");
        Resign message = new Resign(leading.number(), successor, leaving);
        peers.send(peers.everywhere(leading.record()), message);
        stepDown("resigned in favour of '" + successor + "'", AFTER_TROUBLE_MS);
    }

    private void stepDown(String reason, double pauseMs) {
        leadership = Optional.empty();
        ballot = Optional.empty();
        toleranceMonitor.reset();
        leaseFromMs = Double.POSITIVE_INFINITY;
        election.restart(pauseMs);
        context.listener().noted("leads no more: " + reason);
        changes.abandon(new ChangeOutcome.NotPrimary(primary()));
        reads.abandon(new ReadOutcome.NotPrimary(primary()));
    }

    private boolean hearsPrimary() {
        return leadership.map(Leadership::confirmedLately).orElseGet(election::hearsPrimary);
    }

    Status status(boolean answerWanted) {
        boolean leading = leadership.map(Leadership::confirmedLately).orElse(false);
        return new Status(
                context.self(),
                durable.promised(),
                durable.accepted(),
                durable.state().tag(),
                leading,
                hearsPrimary(),
                leading ? ownSighting() : knownPrimary.sighting(),
                answerWanted);
    }

    private PrimarySighting ownSighting() {
        return new PrimarySighting(leadership.get().number(), settings.operatorApi(), 0);
    }

    /** This process is about to end: hands leadership over, and leaves the in-sync set. */
    public void leave(double nowMs) {
        clock.advance(nowMs);
        leaving = true;
        leavingSinceMs = clock.activeMs();
        if (leadership.isEmpty() && lastHeartbeat != null) {
            peers.send(primaryAddress, heartbeatReply(lastHeartbeat));
        }
        advance();
    }

    /** After {@link #leave}: whether the others can do without this process by now. */
    public boolean detached() {
        EpochRecord accepted = durable.accepted();
        boolean outside = !accepted.inSync().contains(durable.identity());
        return leadership.isEmpty() && outside && (isKnownToStand(accepted) || !accepted.hasMember(durable.identity()));
    }

    /** Only the primary of a record that stands sends heartbeats under its number. */
    private boolean isKnownToStand(EpochRecord record) {
        return lastHeartbeat != null && lastHeartbeat.number().equals(record.number());
    }

    @Override
    public void advanceClock(double nowMs) {
        clock.advance(nowMs);
    }

    @Override
    public void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        if (leadership.isEmpty() || leaving) {
            callback.accept(new ChangeOutcome.NotPrimary(primary()));
            return;
        }
        changes.add(change, clock.steadyMs() + settings.ackMs() - ANSWER_MARGIN_MS, callback);
        advance();
    }

    @Override
    public void read(Consumer<ReadOutcome> callback) {
        if (leadership.isEmpty()) {
            callback.accept(new ReadOutcome.NotPrimary(primary()));
            return;
        }
        reads.add(clock.steadyMs() + READ_MS, callback);
        advance();
    }

    @Override
    public Optional<SocketAddress> primary() {
        return leadership.isPresent() ? Optional.of(settings.operatorApi()) : knownPrimary.operatorApi();
    }

    /** What this process knows, for the people who run it. */
    public ReplicationReport report() {
        EpochRecord record = leadership.map(Leadership::record).orElseGet(durable::accepted);
        return new ReplicationReport(
                record.number().counter(),
                primary(),
                toleranceMonitor.members(record, leadership),
                record.inSync().size(),
                toleranceMonitor.report(leadership));
    }

    /**
     * Whether this process is in contact with a quorum, as its confirmed primary or by hearing one, and has told its
     * listener of every configuration that this primary had acknowledged when it was heard last.
     */
    public boolean holdsNewest() {
        if (leadership.isPresent()) {
            return leadership.get().begun() && leadership.get().confirmedLately();
        }
        return election.hearsPrimary()
                && lastHeartbeat != null
                && lastHeartbeat.number().equals(durable.promised())
                && commitReport.covers(lastHeartbeat.committed());
    }

    /** The epoch that this process leads or believes to lead, whether or not it has begun. */
    Optional<Long> leadingNumber() {
        return leadership.map(leading -> leading.number().counter());
    }

    @Override
    public Optional<Long> leadingEpoch() {
        double now = clock.steadyMs();
        return leadership
                .filter(leading -> leading.begun() && leading.honoured() && ballot.isEmpty())
                .filter(leading -> now >= leaseFromMs && now <= leading.leaseEndsMs())
                .map(leading -> leading.number().counter());
    }
}
