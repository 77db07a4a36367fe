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
import pinewick.replication.ReplicationMessages.Rejection;

/**
 * One attempt to get a new epoch record chosen, by the two phases of single-decree Paxos (Lamport, "Paxos Made Simple",
 * 2001): it asks the witnesses to promise a number, then to accept a record that is based on the highest one that they
 * report as accepted. The record is chosen once a quorum has accepted it. The proposer's own store takes part like any
 * other: its promise and its acceptance count only once they are on disk. Control loop only.
 */
final class EpochProposal {
    /** Interval at which requests are sent again while the phase lasts. */
    private static final double RESEND_INTERVAL_MS = 150;

    /**
     * Resend interval while a quorum has promised and only expected promises are missing; shorter than {@link
     * #EXPECTED_PROMISES_WAIT_MS}, so that a lost request is repeated within that wait.
     */
    private static final double EXPECTED_RESEND_INTERVAL_MS = 40;

    /**
     * How long, from the start of the phase, to wait for the stores that are expected to promise when a quorum has
     * promised.
     */
    private static final double EXPECTED_PROMISES_WAIT_MS = 100;

    /**
     * How long, from the start of the phase, to wait for more in-sync stores while fewer than f + 1 of them have
     * promised.
     */
    private static final double MIN_IN_SYNC_WAIT_MS = 500;

    /** The proposal fails if a phase takes longer than this. */
    private static final double PHASE_TIMEOUT_MS = 1_200;

    /** Phase of a proposal. */
    enum Phase {
        PREPARING,
        ACCEPTING,
        CHOSEN,
        FAILED
    }

    /** Builds the record to propose once a quorum has promised. */
    interface RecordPlanner {
        /** The record, or empty if this process must not propose one based on {@code highest}. */
        Optional<EpochRecord> plan(EpochNumber number, EpochRecord highest, Map<String, Promise> promises);
    }

    private final ReplicationContext context;
    private final EpochNumber number;
    private final boolean requestedByPrimary;
    private final RecordPlanner planner;
    private final Set<String> expectedPromises;
    private final Map<String, Promise> promises = new HashMap<>();
    private final Set<String> acceptors = new HashSet<>();
    private Phase phase = Phase.PREPARING;
    private double phaseSinceMs;
    private double lastSentMs;
    private RequestId prepareRequest = RequestId.NONE;
    private RequestId acceptRequest = RequestId.NONE;
    private EpochRecord proposal;
    private EpochNumber highestRejection = EpochNumber.NONE;

    /**
     * @param number the epoch number to propose
     * @param requestedByPrimary whether the primary asked for this proposal
     * @param planner builds the record to propose
     * @param expectedPromises identities of the stores that are expected to promise; the proposal waits for them a
     *     little longer than for a quorum
     */
    EpochProposal(
            ReplicationContext context,
            EpochNumber number,
            boolean requestedByPrimary,
            RecordPlanner planner,
            Set<String> expectedPromises) {
        this.context = context;
        this.number = number;
        this.requestedByPrimary = requestedByPrimary;
        this.planner = planner;
        this.expectedPromises = Set.copyOf(expectedPromises);
    }

    EpochNumber number() {
        return number;
    }

    Phase phase() {
        return phase;
    }

    /** The proposed record; chosen once the phase is {@link Phase#CHOSEN}. */
    EpochRecord proposal() {
        return proposal;
    }

    Map<String, Promise> promises() {
        return promises;
    }

    /** The highest number that a witness named when it rejected this proposal. */
    EpochNumber highestRejection() {
        return highestRejection;
    }

    void start() {
        phaseSinceMs = context.activeMs();
        prepareRequest = context.requests().next();
        DurableState durable = context.durable();
        durable.submit(
                () -> number.counter() > durable.promised().counter()
                        ? Optional.of(durable.withPromise(number))
                        : Optional.empty(),
                this::onOwnPromise);
        sendPrepare();
    }

    void onTick() {
        if (phase == Phase.CHOSEN || phase == Phase.FAILED) {
            return;
        }
        if (context.activeMs() - phaseSinceMs > PHASE_TIMEOUT_MS) {
            phase = Phase.FAILED;
            return;
        }
        proposeIfReady();
        if (context.activeMs() - lastSentMs >= resendIntervalMs()) {
            resend();
        }
    }

    /**
     * Once a quorum has promised, the missing expected stores are asked again at a shorter interval, within the short
     * wait for them.
     */
    private double resendIntervalMs() {
        boolean awaitsExpected = phase == Phase.PREPARING && highestAccepted().hasQuorum(promises.keySet());
        return awaitsExpected ? EXPECTED_RESEND_INTERVAL_MS : RESEND_INTERVAL_MS;
    }

    void onPromise(Promise promise) {
        if (phase == Phase.PREPARING
                && promise.request().equals(prepareRequest)
                && promise.number().equals(number)) {
            Promise previous = promises.put(promise.self().identity(), promise);
            if (previous == null) {
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
                phase = Phase.CHOSEN;
            }
        }
    }

    void onRejection(Rejection rejection) {
        boolean isOwnRequest = rejection.request().equals(prepareRequest)
                || rejection.request().equals(acceptRequest);
        if (isOwnRequest
                && rejection.number().equals(number)
                && rejection.promised().counter() >= number.counter()) {
            if (rejection.promised().isAfter(highestRejection)) {
                highestRejection = rejection.promised();
            }
            if (!rejection.promised().equals(number)) {
                phase = phase == Phase.CHOSEN ? phase : Phase.FAILED;
            }
        }
    }

    private void onOwnPromise(Outcome outcome) {
        if (outcome == Outcome.WRITTEN) {
            DurableState durable = context.durable();
            onPromise(new Promise(
                    prepareRequest,
                    number,
                    context.self(),
                    durable.accepted(),
                    durable.state().version(),
                    false));
        } else {
            phase = Phase.FAILED;
        }
    }

    private void proposeIfReady() {
        if (phase != Phase.PREPARING || !promises.containsKey(context.durable().identity())) {
            return;
        }
        EpochRecord highest = highestAccepted();
        if (!highest.hasQuorum(promises.keySet()) || !hasWaitedLongEnough(highest)) {
            return;
        }
        Optional<EpochRecord> planned = planner.plan(number, highest, promises);
        if (planned.isEmpty()) {
            phase = Phase.FAILED;
            return;
        }
        proposal = planned.get();
        phase = Phase.ACCEPTING;
        phaseSinceMs = context.activeMs();
        acceptRequest = context.requests().next();
        acceptLocally();
        sendAccept();
    }

    /**
     * The highest accepted record among the promises. Of two records with the same number, the one that needs no
     * majority of previous members is newer: it is known to be chosen.
     */
    private EpochRecord highestAccepted() {
        return promises.values().stream()
                .map(Promise::accepted)
                .max(Comparator.comparing(EpochRecord::number).thenComparing(EpochRecord::hasSingleQuorum))
                .orElse(EpochRecord.NONE);
    }

    private boolean hasWaitedLongEnough(EpochRecord highest) {
        double waitedMs = context.activeMs() - phaseSinceMs;
        long promisedInSync =
                highest.inSync().stream().filter(promises::containsKey).count();
        boolean hasAllExpected = promises.keySet().containsAll(expectedPromises);
        boolean hasMinInSync = promisedInSync
                >= Math.min(
                        context.settings().minInSyncStores(), highest.inSync().size());
        return (hasMinInSync && (hasAllExpected || waitedMs >= EXPECTED_PROMISES_WAIT_MS))
                || waitedMs >= MIN_IN_SYNC_WAIT_MS;
    }

    private void acceptLocally() {
        DurableState durable = context.durable();
        durable.submit(
                () -> durable.promised().equals(number)
                        ? Optional.of(new DurableState.Update(number, proposal, durable.state(), Optional.empty()))
                        : Optional.empty(),
                outcome -> {
                    if (outcome == Outcome.WRITTEN) {
                        onAccepted(new Accepted(acceptRequest, number, durable.identity()));
                    } else if (phase == Phase.ACCEPTING) {
                        phase = Phase.FAILED;
                    }
                });
    }

    private void resend() {
        if (phase == Phase.PREPARING) {
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
                        context.peers().allAddresses(context.durable().accepted(), highest),
                        new Prepare(prepareRequest, number, requestedByPrimary));
    }

    private void sendAccept() {
        lastSentMs = context.activeMs();
        context.peers()
                .send(
                        context.peers().allAddresses(context.durable().accepted(), proposal),
                        new Accept(acceptRequest, proposal));
    }
}
