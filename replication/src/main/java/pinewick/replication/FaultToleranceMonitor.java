package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/** Keeps count of how many more machines the system can lose, as the primary sees it. */
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
        boolean isSufficient =
                isKnown(epoch) && tolerableLosses(epoch) >= context.settings().toleratedMachines();
        if (isSufficient && !sufficient) {
            sufficientSinceMs = context.activeMs();
        }
        sufficient = isSufficient;
    }

    /** This process leads no more. */
    void reset() {
        sufficient = false;
    }

    FaultTolerance report(Optional<PrimaryEpoch> leading) {
        if (leading.isEmpty()) {
            return FaultTolerance.unknown("this process is not the primary");
        }
        PrimaryEpoch epoch = leading.get();
        if (!isKnown(epoch)) {
            return FaultTolerance.unknown("the epoch has not begun, or no quorum has confirmed it lately");
        }
        update(epoch);
        OptionalDouble sufficientForMs =
                sufficient ? OptionalDouble.of(context.activeMs() - sufficientSinceMs) : OptionalDouble.empty();
        return new FaultTolerance(
                OptionalInt.of(currentStores(epoch)), OptionalInt.of(tolerableLosses(epoch)), "", sufficientForMs);
    }

    List<MemberReport> members(EpochRecord record, Optional<PrimaryEpoch> epoch) {
        return record.members().stream()
                .map(member -> describe(member, record, epoch.isPresent()))
                .toList();
    }

    private MemberReport describe(Member member, EpochRecord record, boolean epoch) {
        boolean inSync = record.inSync().contains(member.identity());
        if (member.equals(context.self())) {
            return new MemberReport(member, inSync, false, OptionalDouble.of(0));
        }
        Follower follower = epoch ? followers.get(member.identity()) : null;
        return follower == null
                ? new MemberReport(member, inSync, false, OptionalDouble.empty())
                : new MemberReport(
                        member,
                        inSync,
                        follower.isShuttingDown(),
                        OptionalDouble.of(follower.sinceContactMs(context.activeMs())));
    }

    private static boolean isKnown(PrimaryEpoch epoch) {
        return epoch.isEstablished() && epoch.isPromiseCurrent() && epoch.isRecentlyConfirmed();
    }

    /** After these losses a copy is left, and the members that answer are still a majority of all. */
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
     * Members that answer, this one included. One that does not know yet that the record stands is not counted: with
     * the others lost it would ask for a majority of the previous members too.
     */
    private int voters(PrimaryEpoch epoch) {
        long others = epoch.record().members().stream()
                .map(member -> followers.get(member.identity()))
                .filter(follower -> follower != null && epoch.isResponsive(follower))
                .filter(follower -> follower.knowsChosen(epoch.number()))
                .count();
        return 1 + (int) others;
    }
}
