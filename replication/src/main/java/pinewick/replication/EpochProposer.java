package pinewick.replication;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Rejection;

/** The ballots of this process, one at a time: to become primary, or to change an epoch that it leads. */
final class EpochProposer {
    /** After a lost ballot a primary waits up to this long before the next. */
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

    /** Whether a primary may propose a change of its epoch now. */
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
     * Stands for election.
     *
     * @param requestedByPrimary whether the former primary asked for it
     * @param formerPrimaryPromises whether the former primary too is likely to promise
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

    /** Proposes another epoch to the one that this process leads. */
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
        context.listener().onEvent("proposes epoch " + proposal.number().counter());
        proposal.start();
    }

    void cancel() {
        current = Optional.empty();
    }

    /** An epoch that was heard of makes ballots up to its number pointless. */
    void cancelUpTo(EpochNumber number) {
        current = current.filter(proposal -> proposal.number().isAfter(number));
    }

    /** The ballot that was won, if one was; a lost one is put away. */
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
        context.listener()
                .onEvent("lost the ballot for epoch " + failed.number().counter());
        highestRejectedCounter =
                Math.max(highestRejectedCounter, failed.highestRejection().counter());
        nextAttemptMs =
                context.activeMs() + MAX_RETRY_DELAY_MS * context.random().nextDouble();
        election.onElectionLost();
    }
}
