package pinewick.replication;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Rejection;

/**
 * Runs the proposals of this process, one at a time: to become primary, or to reconfigure the epoch that it leads.
 * Control loop only.
 */
final class EpochProposer {
    /** Upper bound of the random delay between a failed proposal of a primary and its next one. */
    private static final double MAX_RETRY_DELAY_MS = 150;

    private final ReplicationContext context;
    private final EpochPlanner planner;
    private final Election election;
    private Optional<EpochProposal> current = Optional.empty();
    private long highestRejectedCounter;
    private double nextAttemptMs;

    EpochProposer(ReplicationContext context, EpochPlanner planner, Election election) {
        this.context = context;
        this.planner = planner;
        this.election = election;
    }

    boolean isProposing() {
        return current.isPresent();
    }

    /** Whether a primary may propose a reconfiguration now. */
    boolean canPropose() {
        return current.isEmpty() && context.activeMs() >= nextAttemptMs;
    }

    void onTick() {
        current.ifPresent(EpochProposal::onTick);
    }

    void onPromise(Promise promise) {
        current.ifPresent(proposal -> proposal.onPromise(promise));
    }

    void onAccepted(Accepted accepted) {
        current.ifPresent(proposal -> proposal.onAccepted(accepted));
    }

    void onRejection(Rejection rejection) {
        current.ifPresent(proposal -> proposal.onRejection(rejection));
    }

    /**
     * Proposes an epoch with this process as primary.
     *
     * @param requestedByPrimary whether the former primary asked for it
     * @param formerPrimaryPromises whether the former primary is among the stores that are expected to promise
     */
    void proposeElection(boolean requestedByPrimary, boolean formerPrimaryPromises) {
        DurableState durable = context.durable();
        long counter = Math.max(election.nextCounter(), highestRejectedCounter + 1);
        String formerPrimary = durable.accepted().primary();
        Set<String> expectedPromises = durable.accepted().inSync().stream()
                .filter(identity -> formerPrimaryPromises || !identity.equals(formerPrimary))
                .collect(Collectors.toSet());
        start(new EpochProposal(
                context,
                new EpochNumber(counter, durable.identity()),
                requestedByPrimary,
                planner::planElection,
                expectedPromises));
    }

    /** Proposes a new epoch in place of the one that this process leads. */
    void proposeReconfiguration(PrimaryEpoch epoch, Followers followers, Set<String> expectedPromises) {
        DurableState durable = context.durable();
        long counter = Math.max(durable.promised().counter(), highestRejectedCounter);
        for (Follower follower : followers.all()) {
            counter = Math.max(counter, follower.promised().counter());
        }
        start(new EpochProposal(
                context,
                new EpochNumber(counter + 1, durable.identity()),
                true,
                (number, highest, promises) -> planner.planChange(number, highest, promises, epoch, followers),
                expectedPromises));
    }

    private void start(EpochProposal proposal) {
        current = Optional.of(proposal);
        context.listener().onEvent("proposing epoch " + proposal.number().counter());
        proposal.start();
    }

    void cancel() {
        current = Optional.empty();
    }

    /** Cancels a proposal that an observed epoch has overtaken: one with its number or a lower one. */
    void cancelUpTo(EpochNumber number) {
        current = current.filter(proposal -> proposal.number().isAfter(number));
    }

    /**
     * Removes and returns the proposal if its record was chosen. A failed proposal is discarded and the election timer
     * backs off.
     */
    Optional<EpochProposal> takeChosen() {
        Optional<EpochProposal> chosen = current.filter(proposal -> proposal.phase() == EpochProposal.Phase.CHOSEN);
        Optional<EpochProposal> failed = current.filter(proposal -> proposal.phase() == EpochProposal.Phase.FAILED);
        if (chosen.isPresent() || failed.isPresent()) {
            current = Optional.empty();
        }
        failed.ifPresent(this::onFailed);
        return chosen;
    }

    private void onFailed(EpochProposal failed) {
        context.listener().onEvent("proposal of epoch " + failed.number().counter() + " failed");
        highestRejectedCounter =
                Math.max(highestRejectedCounter, failed.highestRejection().counter());
        nextAttemptMs =
                context.activeMs() + MAX_RETRY_DELAY_MS * context.random().nextDouble();
        election.onElectionLost();
    }
}
