package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/** Reports how many more machines the configuration store can lose, as the primary sees it. Control loop only. */
final class FaultToleranceMonitor {
    private final ReplicationContext context;
    private final Followers followers;
    private boolean sufficient;
    private double sufficientSinceMs;

    FaultToleranceMonitor(ReplicationContext context, Followers followers) {
        this.context = context;
        this.followers = followers;
    }

    /** Something may have changed at the primary. */
    void update(PrimaryEpoch epoch) {
        boolean isSufficient = isKnown(epoch) && isSufficient(epoch);
        if (isSufficient && !sufficient) {
            sufficientSinceMs = context.activeMs();
        }
        sufficient = isSufficient;
    }

    /** Whether as many losses are tolerable as the deployment requires; only if {@link #isKnown}. */
    boolean isSufficient(PrimaryEpoch epoch) {
        return tolerableLosses(epoch) >= context.settings().toleratedMachines();
    }

    /** This process has stepped down. */
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

    /** @param isPrimary whether this process is primary; else it does not know how the other members are */
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

    /** Whether the epoch is established, and a quorum has confirmed it recently. */
    boolean isKnown(PrimaryEpoch epoch) {
        return epoch.isEstablished()
                && epoch.isPromiseCurrent()
                && epoch.lease().isRecentlyConfirmed();
    }

    /** After these losses one up-to-date store is left, and the responsive members are still a majority of all. */
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
     * Responsive members, this one included. One that does not know yet that the record is chosen is not counted: with
     * the others lost it would require a majority of the previous members too.
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
