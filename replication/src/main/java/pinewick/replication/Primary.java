package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.HeartbeatReply;
import pinewick.replication.ReplicationMessages.PrimarySighting;
import pinewick.replication.ReplicationMessages.Resign;
import pinewick.replication.ReplicationMessages.StateReply;
import pinewick.replication.ReplicationMessages.Status;

/** This process as the primary: from the epoch that it won, through its changes, until it leads no more. */
final class Primary {
    /** So long before {@code ack_ms} a change that is not decided is answered. */
    private static final double ANSWER_MARGIN_MS = 500;

    private static final double READ_MS = 2_000;

    /** After a trouble of its own, this process leaves the election to others for this long. */
    private static final double AFTER_TROUBLE_MS = 1_000;

    /** A primary that is about to end waits this long for a change under way. */
    private static final double LAST_CHANGE_MS = 500;

    private static final double LEASE_MARGIN_MS = 100;

    private final Context context;
    private final Departure departure;
    private final EpochPlanner planner;
    private final Proposals proposals;
    private final Election election;
    private final KnownPrimary knownPrimary;
    private final PrimaryListener listener;
    private final Replicas replicas;
    private final ChangeQueue changes = new ChangeQueue();
    private final ReadQueue reads = new ReadQueue();
    private final PrimaryRole role;
    private final FaultToleranceMonitor toleranceMonitor;
    private Optional<Leadership> leadership = Optional.empty();
    private double leaseFromMs = Double.POSITIVE_INFINITY;

    Primary(
            Context context,
            Departure departure,
            EpochPlanner planner,
            Proposals proposals,
            Election election,
            KnownPrimary knownPrimary,
            PrimaryListener listener,
            CommitReport commitReport) {
        this.context = context;
        this.departure = departure;
        this.planner = planner;
        this.proposals = proposals;
        this.election = election;
        this.knownPrimary = knownPrimary;
        this.listener = listener;
        this.replicas = new Replicas(context);
        this.role = new PrimaryRole(commitReport, changes, reads);
        this.toleranceMonitor = new FaultToleranceMonitor(context, replicas);
    }

    Optional<Leadership> leadership() {
        return leadership;
    }

    boolean leads() {
        return leadership.isPresent();
    }

    /** Whether a quorum has confirmed lately that this process leads. */
    boolean isConfirmedLately() {
        return leadership.map(Leadership::confirmedLately).orElse(false);
    }

    /** Whether no other process can have begun to lead, by the clock that counts freezes too. */
    boolean isSurelyLeading() {
        return leadership
                .filter(leading -> leading.begun() && leading.honoured())
                .filter(leading -> context.clock().steadyMs() <= leading.leaseEndsMs())
                .isPresent();
    }

    /** What this process tells of itself as the primary. */
    PrimarySighting sighting() {
        return leadership
                .map(leading ->
                        new PrimarySighting(leading.number(), context.settings().operatorApi(), 0))
                .orElse(PrimarySighting.NONE);
    }

    void onTick() {
        leadership.ifPresent(Leadership::onTick);
        changes.expire(context.clock().steadyMs());
        reads.expire(context.clock().steadyMs());
    }

    void onHeartbeatReply(HeartbeatReply reply) {
        if (leadership.isEmpty()) {
            return;
        }
        leadership.get().onHeartbeatReply(reply);
        if (reply.accepted().isAfter(leadership.get().number()) && !proposals.isUnderWay()) {
            stepDown("epoch " + reply.accepted().counter() + " was accepted elsewhere", 0);
        }
    }

    void onStateReply(StateReply reply) {
        leadership.ifPresent(leading -> leading.onStateReply(reply));
    }

    void onStatus(Status status) {
        leadership.ifPresent(leading -> leading.onStatus(status));
    }

    /** An epoch showed itself: an earlier one that this process leads is over. */
    void onEpoch(EpochNumber number) {
        if (leadership.isPresent() && number.isAfter(leadership.get().number())) {
            stepDown("epoch " + number.counter() + " has begun", 0);
        }
    }

    /** Begins the epoch that a ballot has won. */
    void begin(Ballot won) {
        if (leadership.isEmpty()) {
            countSilenceFromNow(won);
            leaseFromMs = context.clock().steadyMs()
                    + Leadership.LEASE_VALID_MS
                    + context.settings().leaseMs()
                    + LEASE_MARGIN_MS;
        }
        won.promises().values().forEach(promise -> {
            Replica replica = replicas.learn(promise.self());
            if (replica != null) {
                replica.onPromise(promise, context.activeMs());
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
        for (Member member : won.proposal().members()) {
            Replica replica = replicas.learn(member);
            if (replica != null) {
                boolean former = member.identity().equals(listener.identity());
                replica.heardLast(former ? election.lastHeardMs() : context.activeMs());
            }
        }
    }

    /** Does whatever can be done now. */
    void advance() {
        if (leadership.isEmpty()) {
            return;
        }
        Leadership leading = leadership.get();
        if (leading.lost()) {
            resign(leading);
            return;
        }
        role.noteCommitted(leading);
        if (!departure.isBegun() && proposals.mayChange()) {
            planner.wantedChange(leading, replicas).ifPresent(wanted -> proposals.change(leading, replicas, wanted));
        }
        role.advance(leading, !proposals.isUnderWay() && !departure.isBegun());
        toleranceMonitor.update(leading);
        if (departure.isBegun()) {
            handOver(leading);
        }
    }

    private void handOver(Leadership leading) {
        boolean patient = departure.lastsMs(context.activeMs()) < LAST_CHANGE_MS;
        if (!proposals.isUnderWay() && !(leading.changePending() && patient)) {
            resign(leading);
        }
    }

    private void resign(Leadership leading) {
        List<Replica> others = replicas.among(leading.responsive());
        String successor = others.stream()
                .filter(replica -> replica.tag().equals(leading.target()))
                .findFirst()
                .or(() -> others.stream().findFirst())
                .map(Replica::identity)
                .orElse("");
        Resign message = new Resign(leading.number(), successor, departure.isBegun());
        context.peers().send(context.peers().everywhere(leading.record()), message);
        stepDown("resigned in favour of '" + successor + "'", AFTER_TROUBLE_MS);
    }

    private void stepDown(String reason, double pauseMs) {
        leadership = Optional.empty();
        proposals.giveUp();
        toleranceMonitor.reset();
        leaseFromMs = Double.POSITIVE_INFINITY;
        election.restart(pauseMs);
        context.listener().noted("leads no more: " + reason);
        changes.abandon(new ChangeOutcome.NotPrimary(knownPrimary.operatorApi()));
        reads.abandon(new ReadOutcome.NotPrimary(knownPrimary.operatorApi()));
    }

    /** Takes a change; only while this process leads. */
    void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        double deadlineMs = context.clock().steadyMs() + context.settings().ackMs() - ANSWER_MARGIN_MS;
        changes.add(change, deadlineMs, callback);
    }

    /** Takes a read; only while this process leads. */
    void read(Consumer<ReadOutcome> callback) {
        reads.add(context.clock().steadyMs() + READ_MS, callback);
    }

    /** The epoch whose lease this process holds now. */
    Optional<Long> leadingEpoch() {
        double now = context.clock().steadyMs();
        return leadership
                .filter(leading -> leading.begun() && leading.honoured() && !proposals.isUnderWay())
                .filter(leading -> now >= leaseFromMs && now <= leading.leaseEndsMs())
                .map(leading -> leading.number().counter());
    }

    /** The configuration store as this process sees it. */
    ReplicationReport report(Optional<SocketAddress> named) {
        EpochRecord record = leadership.map(Leadership::record).orElseGet(context.durable()::accepted);
        return new ReplicationReport(
                record.number().counter(),
                named,
                toleranceMonitor.members(record, leadership),
                record.inSync().size(),
                toleranceMonitor.report(leadership));
    }
}
