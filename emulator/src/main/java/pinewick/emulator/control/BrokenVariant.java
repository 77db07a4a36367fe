package pinewick.emulator.control;

import java.util.function.Supplier;

/** Deliberate faults, each of which an invariant must catch. */
public enum BrokenVariant {
    /** As it is built. */
    NONE(0, 0, Sabotage::new),

    /** 412 without a round that a quorum confirmed. */
    REFUSES_WITHOUT_A_ROUND(1, 166, ApiSabotage.RefusesFromMemory::new),
    /** Reads without a round that a quorum confirmed. */
    READS_FROM_MEMORY(1, 208, ApiSabotage.ReadsFromMemory::new),
    /** 400 judged against a state that is not current. */
    JUDGES_AGAINST_AN_OLD_STATE(1, 0, ApiSabotage.JudgesByMemory::new),
    /** A redirection kept after its primary is lost. */
    KEEPS_REDIRECTIONS(1, 3, ApiSabotage.KeepsRedirections::new),
    /** Two controllers that point at each other. */
    REDIRECTS_TO_A_NEIGHBOUR(1, 3, ApiSabotage.RedirectsToNeighbour::new),
    /** A round confirmed by an answer to an earlier one. */
    LATE_ROUNDS_CONFIRM(1, 25, MessageSabotage.LateRoundsConfirm::new),
    /** A process that joins takes what it was told first for current, for good. */
    ROUTER_BELIEVES_THE_FIRST(1, 3, FleetSabotage.RouterBelievesFirst::new),

    /** Two changes upon one base are both taken. */
    TAKES_TWO_UPON_ONE_BASE(2, 0, ApiSabotage.Rebases::new),
    /** Changed items replace the whole configuration. */
    REPLACES_INSTEAD_OF_UPDATING(2, 0, ApiSabotage.ReplacesInsteadOfUpdating::new),
    /** Another body under the same version counts as the same change. */
    COMPARES_VERSIONS_ONLY(2, 0, ApiSabotage.ComparesVersionsOnly::new),
    /** A change sent again is refused because its version is not above the current one. */
    REFUSES_A_RESENT_CHANGE(2, 0, ApiSabotage.JudgesVersionFirst::new),
    /** A change sent again is refused after its state was copied. */
    REFUSES_RESENT_AFTER_A_COPY(2, 2, MessageSabotage.CopyForgetsAccepted::new),
    /** A change sent again is refused after a snapshot. */
    REFUSES_RESENT_AFTER_A_SNAPSHOT(2, 3, DiskSabotage.SnapshotForgetsAccepted::new),
    /** What is not decided is refused. */
    REFUSES_THE_UNDECIDED(2, 1, () -> new ApiSabotage.AnswersTheUndecided(412)),
    /** What is not decided is acknowledged. */
    ACKNOWLEDGES_THE_UNDECIDED(2, 1, () -> new ApiSabotage.AnswersTheUndecided(200)),

    /** A leaving member ends before another one holds the state. */
    LEAVES_BEFORE_HANDING_OVER(3, 49, DiskSabotage.LeavesAtOnce::new),
    /** The members change without a majority of the old ones. */
    MEMBERS_WITHOUT_THE_OLD_MAJORITY(3, 3, MessageSabotage.MembersWithoutOldMajority::new),
    /** A store that lost its disk votes. */
    VOTES_ON_AN_EMPTY_DISK(3, 28, DiskSabotage.FoundsAfterWipe::new),
    /** A store that lost its disk keeps its identity. */
    REUSES_AN_IDENTITY(3, 28, DiskSabotage.ReusesIdentity::new),
    /** An in-sync set smaller than f + 1 acknowledges. */
    ACKNOWLEDGES_BELOW_F_PLUS_1(3, 31, DiskSabotage.NeedsOneCopy::new),

    /** An old state leads. */
    AN_OLD_STATE_LEADS(4, 28, MessageSabotage.OldStateLeads::new),
    /** Folding changes into a snapshot loses the last one. */
    FOLDING_LOSES_THE_LAST_CHANGE(4, 3, DiskSabotage.FoldingLosesLastChange::new),
    /** An acknowledgement before the backup's disk. */
    CONFIRMS_BEFORE_THE_DISK(4, 3, DiskSabotage.ConfirmsBeforeWriting::new),
    /** A witness forgets its promise at a restart. */
    FORGETS_A_PROMISE(4, 2, DiskSabotage.ForgetsPromise::new),
    /** A router takes an older configuration. */
    ROUTER_TAKES_AN_OLDER_ONE(4, 0, FleetSabotage.RouterTakesOlder::new),

    /** A promise of an earlier life counts. */
    COUNTS_OLD_PROMISES(5, 0, MessageSabotage.CountsOldPromises::new),
    /** An acceptance of an earlier life counts. */
    COUNTS_OLD_ACCEPTANCES(5, 0, MessageSabotage.CountsOldAcceptances::new),
    /** A heartbeat's answer of an earlier life counts. */
    COUNTS_OLD_ROUNDS(5, 4, MessageSabotage.CountsOldRounds::new),
    /** A state's confirmation of an earlier life counts. */
    COUNTS_OLD_COPIES(5, 0, MessageSabotage.CountsOldCopies::new),
    /** A drain is acknowledged by one controller alone while a majority is there. */
    ACKNOWLEDGES_A_DRAIN_ALONE(5, 29, FleetSabotage.AcknowledgesEndsAlone::new),
    /** A late heartbeat takes a drain back. */
    UNLEARNS_A_DRAIN(5, 0, FleetSabotage.HeartbeatTakesEndBack::new),
    /** Routers are not told of a drain. */
    ROUTERS_MISS_DRAINS(5, 0, FleetSabotage.RoutersMissEnds::new),
    /** The fencing token does not rise with the epoch. */
    TOKEN_NOT_RAISED(5, 0, DiskSabotage.KeepsToken::new),
    /** The lease of the holder before is not waited for. */
    LEASE_NOT_WAITED_FOR(5, 1, DiskSabotage.SkipsLeaseWait::new);

    private final int point;
    private final long knownSeed;
    private final Supplier<Sabotage> maker;

    BrokenVariant(int point, long knownSeed, Supplier<Sabotage> maker) {
        this.point = point;
        this.knownSeed = knownSeed;
        this.maker = maker;
    }

    /** Which of the five points of control safety it belongs to; 0 for none. */
    public int point() {
        return point;
    }

    /** A seed that catches it, as long as the code does not change. */
    public long knownSeed() {
        return knownSeed;
    }

    Sabotage sabotage() {
        return maker.get();
    }
}
