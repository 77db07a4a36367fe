package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/**
 * Determines, at the primary, how many more machines can be lost without losing an acknowledged change or the quorum.
 * Control loop only.
 */
final class FaultToleranceMonitor {
    private final ReplicationContext context;
    private final Followers followers;
    private boolean sufficient;
    private double sufficientSinceMs;

    FaultToleranceMonitor(ReplicationContext context, Followers followers) {
        this.context = context;
        this.followers = followers;
    }

    /** Re-evaluates the epoch, and records since when the required fault tolerance has been met. */
    void update(PrimaryEpoch epoch) {
        boolean isSufficient = isKnown(epoch) && isSufficient(epoch);
        if (isSufficient && !sufficient) {
            sufficientSinceMs = context.activeMs();
        }
        sufficient = isSufficient;
    }

    /**
     * Whether at least as many losses are tolerable as the deployment requires; meaningful only if {@link #isKnown}.
     */
    boolean isSufficient(PrimaryEpoch epoch) {
        return tolerableLosses(epoch) >= context.settings().toleratedMachines();
    }

    /** Forgets the last evaluation, as this process has stepped down. */
    void reset() {
        sufficient = false;
    }

    FaultTolerance report(Optional<PrimaryEpoch> leading) {
        if (leading.isEmpty()) {
            return FaultTolerance.unknown("this process is not the primary");
        }
        PrimaryEpoch epoch = leading.get();
        if (!isKnown(epoch)) {
            return FaultTolerance.unknown("the epoch is not established, or no quorum has confirmed it recently");
        }
        update(epoch);
        OptionalDouble sufficientForMs =
                sufficient ? OptionalDouble.of(context.activeMs() - sufficientSinceMs) : OptionalDouble.empty();
        return new FaultTolerance(
                OptionalInt.of(currentStores(epoch)), OptionalInt.of(tolerableLosses(epoch)), "", sufficientForMs);
    }

    /** @param isPrimary whether this process is primary; otherwise it has no information about the other members */
    List<MemberReport> members(EpochRecord record, boolean isPrimary) {
        return record.members().stream()
                .map(member -> describe(member, record, isPrimary))
                .toList();
    }

    private MemberReport describe(Member member, EpochRecord record, boolean isPrimary) {
        boolean inSync = record.inSync().contains(member.identity());
        if (member.equals(context.self())) {
            return new MemberReport(member, inSync, false, OptionalDouble.of(0));
        }
        Optional<Follower> known = isPrimary ? followers.find(member.identity()) : Optional.empty();
        return known.map(follower -> new MemberReport(
                        member,
                        inSync,
                        follower.isShuttingDown(),
                        OptionalDouble.of(follower.sinceContactMs(context.activeMs()))))
                .orElseGet(() -> new MemberReport(member, inSync, false, OptionalDouble.empty()));
    }

    /**
     * Whether the fault tolerance is known: the epoch is established and not superseded by a promise of this process,
     * and a quorum has confirmed it recently.
     */
    boolean isKnown(PrimaryEpoch epoch) {
        return epoch.isEstablished()
                && epoch.isPromiseCurrent()
                && epoch.lease().isRecentlyConfirmed();
    }

    /**
     * How many machines can be lost such that one current store is left and the remaining responsive members are still
     * a majority of all members.
     */
    private int tolerableLosses(PrimaryEpoch epoch) {
        int members = epoch.record().members().size();
        int majority = members / 2 + 1;
        int voters = voters(epoch);
        return Math.max(0, Math.min(currentStores(epoch) - 1, voters - majority));
    }

    private int currentStores(PrimaryEpoch epoch) {
        StateVersion committed = epoch.committed().version();
        long others = followers.withIdentities(epoch.responsiveFollowers()).stream()
                .filter(follower -> follower.stateVersion().epoch() == committed.epoch()
                        && follower.stateVersion().compareTo(committed) >= 0)
                .count();
        return 1 + (int) others;
    }

    /**
     * Number of responsive members that could vote, this one included. A member that does not know yet that the record
     * is chosen is not counted: if the others were lost, it would require a majority of the previous members too.
     */
    private int voters(PrimaryEpoch epoch) {
        long others = epoch.record().members().stream()
                .map(member -> followers.find(member.identity()))
                .flatMap(Optional::stream)
                .filter(epoch.inSyncEvaluator()::isResponsive)
                .filter(follower -> follower.knowsChosen(epoch.number()))
                .count();
        return 1 + (int) others;
    }
}
