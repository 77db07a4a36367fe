package pinewick.replication;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.Promise;
import pinewick.replication.ReplicationMessages.Refusal;

/** The ballots of this process, one at a time: to become primary, or to change an epoch that it leads. */
final class Proposals {
    /** After a lost ballot a primary waits up to this long before the next. */
    private static final double CHANGE_PAUSE_MS = 150;

    private final Context context;
    private final EpochPlanner planner;
    private final Election election;
    private Optional<Ballot> ballot = Optional.empty();
    private long counterToBeat;
    private double nextChangeMs;

    Proposals(Context context, EpochPlanner planner, Election election) {
        this.context = context;
        this.planner = planner;
        this.election = election;
    }

    boolean isUnderWay() {
        return ballot.isPresent();
    }

    /** Whether a primary may propose a change of its epoch now. */
    boolean mayChange() {
        return ballot.isEmpty() && context.activeMs() >= nextChangeMs;
    }

    void onTick() {
        ballot.ifPresent(Ballot::onTick);
    }

    void onPromise(Promise promise) {
        ballot.ifPresent(current -> current.onPromise(promise));
    }

    void onAccepted(Accepted accepted) {
        ballot.ifPresent(current -> current.onAccepted(accepted));
    }

    void onRefusal(Refusal refusal) {
        ballot.ifPresent(current -> current.onRefusal(refusal));
    }

    /**
     * Stands for election.
     *
     * @param handedOver whether the former primary asked for it
     * @param formerPromises whether the former primary too is likely to promise
     */
    void stand(boolean handedOver, boolean formerPromises) {
        DurableState durable = context.durable();
        long counter = Math.max(election.nextCounter(), counterToBeat + 1);
        String former = durable.accepted().primary();
        Set<String> wanted = durable.accepted().inSync().stream()
                .filter(identity -> formerPromises || !identity.equals(former))
                .collect(Collectors.toSet());
        start(new Ballot(
                context, new EpochNumber(counter, durable.identity()), handedOver, planner::planElection, wanted));
    }

    /** Proposes another epoch to the one that this process leads. */
    void change(Leadership leading, Replicas replicas, Set<String> wanted) {
        DurableState durable = context.durable();
        long counter = Math.max(durable.promised().counter(), counterToBeat);
        for (Replica replica : replicas.all()) {
            counter = Math.max(counter, replica.promised().counter());
        }
        start(new Ballot(
                context,
                new EpochNumber(counter + 1, durable.identity()),
                true,
                (number, highest, promises) -> planner.planChange(number, highest, promises, leading, replicas),
                wanted));
    }

    private void start(Ballot started) {
        ballot = Optional.of(started);
        context.listener().noted("proposes epoch " + started.number().counter());
        started.start();
    }

    void giveUp() {
        ballot = Optional.empty();
    }

    /** An epoch that was heard of makes ballots up to its number pointless. */
    void giveUpUpTo(EpochNumber number) {
        ballot = ballot.filter(current -> current.number().isAfter(number));
    }

    /** The ballot that was won, if one was; a lost one is put away. */
    Optional<Ballot> takeWon() {
        Optional<Ballot> won = ballot.filter(current -> current.phase() == Ballot.Phase.WON);
        Optional<Ballot> lost = ballot.filter(current -> current.phase() == Ballot.Phase.LOST);
        if (won.isPresent() || lost.isPresent()) {
            ballot = Optional.empty();
        }
        lost.ifPresent(this::onLost);
        return won;
    }

    private void onLost(Ballot lost) {
        context.listener().noted("lost the ballot for epoch " + lost.number().counter());
        counterToBeat = Math.max(counterToBeat, lost.highestRefusal().counter());
        nextChangeMs = context.activeMs() + CHANGE_PAUSE_MS * context.random().nextDouble();
        election.onLost();
    }
}
