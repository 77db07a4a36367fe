package pinewick.replication;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pinewick.replication.DurableState.Outcome;
import pinewick.replication.ReplicationMessages.Accept;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Prepare;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Refusal;

/**
 * One try to make a new epoch: asks the witnesses to promise a number, proposes a record built upon the highest one
 * that they have accepted, and stands once a quorum has accepted that.
 */
final class Ballot {
    /** Messages without an answer are sent again after this long. */
    private static final double RESEND_MS = 150;

    /** The stores that are likely to promise are waited for this long once there is a quorum. */
    private static final double WAIT_FOR_WANTED_MS = 100;

    /** With fewer in-sync stores than hold each change, more are waited for this long. */
    private static final double WAIT_FOR_COPIES_MS = 500;

    /** A phase that takes longer has failed. */
    private static final double PHASE_MS = 1_200;

    /** How far a ballot is. */
    enum Phase {
        PROMISING,
        ACCEPTING,
        WON,
        LOST
    }

    /** Builds the record to propose. */
    interface Planner {
        /** The record, without its number, or empty if this process may not propose one upon {@code highest}. */
        Optional<EpochRecord> plan(EpochNumber number, EpochRecord highest, Map<String, Promise> promises);
    }

    private final Context context;
    private final EpochNumber number;
    private final boolean handedOver;
    private final Planner planner;
    private final Set<String> wanted;
    private final Map<String, Promise> promises = new HashMap<>();
    private final Set<String> acceptors = new HashSet<>();
    private Phase phase = Phase.PROMISING;
    private double phaseSinceMs;
    private double lastSentMs;
    private RequestId prepareRequest = RequestId.NONE;
    private RequestId acceptRequest = RequestId.NONE;
    private EpochRecord proposal;
    private EpochNumber highestRefusal = EpochNumber.NONE;

    /**
     * @param number the number to be promised
     * @param handedOver whether the primary asked for this ballot
     * @param planner builds the record to propose
     * @param wanted the stores that are likely to promise, and worth a short wait
     */
    Ballot(Context context, EpochNumber number, boolean handedOver, Planner planner, Set<String> wanted) {
        this.context = context;
        this.number = number;
        this.handedOver = handedOver;
        this.planner = planner;
        this.wanted = Set.copyOf(wanted);
    }

    EpochNumber number() {
        return number;
    }

    Phase phase() {
        return phase;
    }

    /** The record that stands, once won. */
    EpochRecord proposal() {
        return proposal;
    }

    Map<String, Promise> promises() {
        return promises;
    }

    /** The highest number that hindered this ballot. */
    EpochNumber highestRefusal() {
        return highestRefusal;
    }

    void start() {
        phaseSinceMs = context.activeMs();
        prepareRequest = context.requests().next();
        DurableState durable = context.durable();
        durable.submit(
                () -> number.counter() > durable.promised().counter()
                        ? Optional.of(durable.promising(number))
                        : Optional.empty(),
                this::promisedHere);
        sendPrepare();
    }

    void onTick() {
        if (phase == Phase.WON || phase == Phase.LOST) {
            return;
        }
        if (context.activeMs() - phaseSinceMs > PHASE_MS) {
            phase = Phase.LOST;
            return;
        }
        proposeIfReady();
        if (context.activeMs() - lastSentMs >= RESEND_MS) {
            resend();
        }
    }

    void onPromise(Promise promise) {
        if (phase == Phase.PROMISING
                && promise.request().equals(prepareRequest)
                && promise.number().equals(number)) {
            Promise before = promises.put(promise.self().identity(), promise);
            if (before == null) {
                proposeIfReady();
            }
        }
    }

    void onAccepted(Accepted accepted) {
        if (phase == Phase.ACCEPTING
                && accepted.request().equals(acceptRequest)
                && accepted.number().equals(number)) {
            acceptors.add(accepted.identity());
            if (proposal.hasQuorum(acceptors)) {
                phase = Phase.WON;
            }
        }
    }

    void onRefusal(Refusal refusal) {
        boolean asked =
                refusal.request().equals(prepareRequest) || refusal.request().equals(acceptRequest);
        if (asked && refusal.number().equals(number) && refusal.promised().counter() >= number.counter()) {
            if (refusal.promised().isAfter(highestRefusal)) {
                highestRefusal = refusal.promised();
            }
            if (!refusal.promised().equals(number)) {
                phase = phase == Phase.WON ? phase : Phase.LOST;
            }
        }
    }

    private void promisedHere(Outcome outcome) {
        if (outcome == Outcome.WRITTEN) {
            DurableState durable = context.durable();
            onPromise(new Promise(
                    prepareRequest,
                    number,
                    context.self(),
                    durable.accepted(),
                    durable.state().tag(),
                    false));
        } else {
            phase = Phase.LOST;
        }
    }

    private void proposeIfReady() {
        if (phase != Phase.PROMISING || !promises.containsKey(context.durable().identity())) {
            return;
        }
        EpochRecord highest = highestAccepted();
        if (!highest.hasQuorum(promises.keySet()) || !waitedEnough(highest)) {
            return;
        }
        Optional<EpochRecord> planned = planner.plan(number, highest, promises);
        if (planned.isEmpty()) {
            phase = Phase.LOST;
            return;
        }
        proposal = planned.get();
        phase = Phase.ACCEPTING;
        phaseSinceMs = context.activeMs();
        acceptRequest = context.requests().next();
        acceptHere();
        sendAccept();
    }

    /** Of two records with one number, the settled one says more. */
    private EpochRecord highestAccepted() {
        return promises.values().stream()
                .map(Promise::accepted)
                .max(Comparator.comparing(EpochRecord::number).thenComparing(EpochRecord::isSettled))
                .orElse(EpochRecord.NONE);
    }

    private boolean waitedEnough(EpochRecord highest) {
        double waitedMs = context.activeMs() - phaseSinceMs;
        long present = highest.inSync().stream().filter(promises::containsKey).count();
        boolean allWanted = promises.keySet().containsAll(wanted);
        boolean enoughCopies = present
                >= Math.min(context.settings().fewestCopies(), highest.inSync().size());
        return (enoughCopies && (allWanted || waitedMs >= WAIT_FOR_WANTED_MS)) || waitedMs >= WAIT_FOR_COPIES_MS;
    }

    private void acceptHere() {
        DurableState durable = context.durable();
        durable.submit(
                () -> durable.promised().equals(number)
                        ? Optional.of(new DurableState.Step(number, proposal, durable.state(), Optional.empty()))
                        : Optional.empty(),
                outcome -> {
                    if (outcome == Outcome.WRITTEN) {
                        onAccepted(new Accepted(acceptRequest, number, durable.identity()));
                    } else if (phase == Phase.ACCEPTING) {
                        phase = Phase.LOST;
                    }
                });
    }

    private void resend() {
        if (phase == Phase.PROMISING) {
            sendPrepare();
        } else if (phase == Phase.ACCEPTING) {
            sendAccept();
        }
    }

    private void sendPrepare() {
        lastSentMs = context.activeMs();
        EpochRecord highest = highestAccepted();
        context.peers()
                .send(
                        context.peers().everywhere(context.durable().accepted(), highest),
                        new Prepare(prepareRequest, number, handedOver));
    }

    private void sendAccept() {
        lastSentMs = context.activeMs();
        context.peers()
                .send(
                        context.peers().everywhere(context.durable().accepted(), proposal),
                        new Accept(acceptRequest, proposal));
    }
}
