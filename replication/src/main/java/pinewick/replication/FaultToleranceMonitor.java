package pinewick.replication;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/** Keeps count of how many more machines the system can lose, as the primary sees it. */
final class FaultToleranceMonitor {
    private final Context context;
    private final Replicas replicas;
    private boolean sufficient;
    private double sufficientSinceMs;

    FaultToleranceMonitor(Context context, Replicas replicas) {
        this.context = context;
        this.replicas = replicas;
    }

    /** Something may have changed at the primary. */
    void update(Leadership leadership) {
        boolean now = isKnown(leadership)
                && bearsLosses(leadership) >= context.settings().toleratedMachines();
        if (now && !sufficient) {
            sufficientSinceMs = context.activeMs();
        }
        sufficient = now;
    }

    /** This process leads no more. */
    void reset() {
        sufficient = false;
    }

    FaultTolerance report(Optional<Leadership> leadership) {
        if (leadership.isEmpty()) {
            return FaultTolerance.unknown("this process is not the primary");
        }
        Leadership leading = leadership.get();
        if (!isKnown(leading)) {
            return FaultTolerance.unknown("the epoch has not begun, or no quorum has confirmed it lately");
        }
        update(leading);
        OptionalDouble sinceMs =
                sufficient ? OptionalDouble.of(context.activeMs() - sufficientSinceMs) : OptionalDouble.empty();
        return new FaultTolerance(OptionalInt.of(copies(leading)), OptionalInt.of(bearsLosses(leading)), "", sinceMs);
    }

    List<MemberReport> members(EpochRecord record, Optional<Leadership> leadership) {
        return record.members().stream()
                .map(member -> describe(member, record, leadership.isPresent()))
                .toList();
    }

    private MemberReport describe(Member member, EpochRecord record, boolean leading) {
        boolean inSync = record.inSync().contains(member.identity());
        if (member.equals(context.self())) {
            return new MemberReport(member, inSync, false, OptionalDouble.of(0));
        }
        Replica replica = leading ? replicas.get(member.identity()) : null;
        return replica == null
                ? new MemberReport(member, inSync, false, OptionalDouble.empty())
                : new MemberReport(
                        member, inSync, replica.leaving(), OptionalDouble.of(replica.silentMs(context.activeMs())));
    }

    private static boolean isKnown(Leadership leadership) {
        return leadership.begun() && leadership.honoured() && leadership.confirmedLately();
    }

    /** After these losses a copy is left, and the members that answer are still a majority of all. */
    private int bearsLosses(Leadership leadership) {
        int members = leadership.record().members().size();
        int majority = members / 2 + 1;
        int voters = voters(leadership);
        return Math.max(0, Math.min(copies(leadership) - 1, voters - majority));
    }

    private int copies(Leadership leadership) {
        StateTag committed = leadership.committed().tag();
        long others = replicas.among(leadership.responsive()).stream()
                .filter(replica -> replica.tag().epoch() == committed.epoch()
                        && replica.tag().compareTo(committed) >= 0)
                .count();
        return 1 + (int) others;
    }

    /**
     * Members that answer, this one included. One that does not know yet that the record stands is not counted: with
     * the others lost it would ask for a majority of the previous members too.
     */
    private int voters(Leadership leadership) {
        long others = leadership.record().members().stream()
                .map(member -> replicas.get(member.identity()))
                .filter(replica -> replica != null && leadership.isAnswering(replica))
                .filter(replica -> replica.knows(leadership.number()))
                .count();
        return 1 + (int) others;
    }
}
