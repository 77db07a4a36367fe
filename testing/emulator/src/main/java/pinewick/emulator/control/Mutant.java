package pinewick.emulator.control;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Deliberately broken variants of the control plane. Each must be caught by an invariant, which shows that the
 * invariant can fail.
 */
public enum Mutant {
    /** The unmodified code. */
    NONE(0, 0, Mutation::new),

    /** A response of 412 without a heartbeat that a quorum confirmed. */
    REJECTS_WITHOUT_CONFIRMATION(1, 3, ApiMutations.RejectsFromMemory::new),
    /** A response to a read without a heartbeat that a quorum confirmed. */
    READS_FROM_MEMORY(1, 360, ApiMutations.ReadsFromMemory::new),
    /** A response of 400 after validation against a state that is not current. */
    VALIDATES_AGAINST_STALE_STATE(1, 0, ApiMutations.ValidatesAgainstMemory::new),
    /** A redirect that is repeated after the loss of the primary. */
    CACHES_REDIRECTS(1, 3, ApiMutations.CachesRedirects::new),
    /** Two controllers that redirect to each other. */
    REDIRECTS_TO_A_PEER(1, 3, ApiMutations.RedirectsToPeer::new),
    /** A heartbeat is confirmed by a reply to an earlier one. */
    LATE_REPLIES_CONFIRM(1, 12, MessageMutations.LateRepliesConfirm::new),
    /** A process that bootstraps trusts its first source permanently. */
    ROUTER_TRUSTS_FIRST_SOURCE(1, 3, GossipMutations.RouterTrustsFirstSource::new),

    /** Two changes of one base version are both accepted. */
    ACCEPTS_TWO_ON_ONE_BASE(2, 0, ApiMutations.Rebases::new),
    /** Changed items replace the full configuration. */
    REPLACES_INSTEAD_OF_UPDATING(2, 0, ApiMutations.ReplacesInsteadOfUpdating::new),
    /** Another body under the same version counts as the same change. */
    COMPARES_VERSIONS_ONLY(2, 0, ApiMutations.ComparesVersionsOnly::new),
    /** A resent change is rejected because its version is not above the current one. */
    REJECTS_A_RESENT_CHANGE(2, 0, ApiMutations.ChecksVersionFirst::new),
    /** A resent change is rejected after its state was transferred to another store. */
    REJECTS_RESENT_AFTER_STATE_TRANSFER(2, 14, MessageMutations.StateTransferLosesAcceptedChanges::new),
    /** A resent change is rejected after a snapshot. */
    REJECTS_RESENT_AFTER_A_SNAPSHOT(2, 3, DiskMutations.SnapshotLosesAcceptedChanges::new),
    /** An unknown outcome is reported as a rejection. */
    REJECTS_UNKNOWN_OUTCOMES(2, 1, () -> new ApiMutations.AnswersUnknownOutcomes(412)),
    /** An unknown outcome is reported as an acknowledgement. */
    ACKNOWLEDGES_UNKNOWN_OUTCOMES(2, 1, () -> new ApiMutations.AnswersUnknownOutcomes(200)),

    /** A member exits before another one has the state. */
    SHUTS_DOWN_BEFORE_HANDOVER(3, 84, DiskMutations.ShutsDownAtOnce::new),
    /** The members change without a majority of the old ones. */
    MEMBERS_WITHOUT_JOINT_CONSENSUS(3, 3, MessageMutations.MembersWithoutJointConsensus::new),
    /** A store that lost its disk votes. */
    VOTES_ON_AN_EMPTY_DISK(3, 28, DiskMutations.FoundsAfterWipe::new),
    /** A store that lost its disk keeps its identity. */
    REUSES_AN_IDENTITY(3, 28, DiskMutations.ReusesIdentity::new),
    /** An in-sync set smaller than f + 1 acknowledges. */
    ACKNOWLEDGES_BELOW_F_PLUS_1(3, 31, DiskMutations.NeedsOneStore::new),

    /** A store with an old state becomes primary. */
    STALE_STORE_BECOMES_PRIMARY(4, 28, MessageMutations.StaleStoreBecomesPrimary::new),
    /** A snapshot loses the last change. */
    SNAPSHOT_LOSES_LAST_CHANGE(4, 3, DiskMutations.SnapshotLosesLastChange::new),
    /** A follower confirms a change before it is on its disk. */
    CONFIRMS_BEFORE_WRITING(4, 3, DiskMutations.ConfirmsBeforeWriting::new),
    /** A witness loses its promise at a restart. */
    LOSES_A_PROMISE(4, 9, DiskMutations.LosesPromise::new),
    /** A router applies an older configuration. */
    ROUTER_APPLIES_OLDER_VERSION(4, 0, GossipMutations.RouterAppliesOlder::new),

    /** A promise to an earlier incarnation counts. */
    COUNTS_STALE_PROMISES(5, 0, MessageMutations.CountsStalePromises::new),
    /** An acceptance for an earlier incarnation counts. */
    COUNTS_STALE_ACCEPTANCES(5, 0, MessageMutations.CountsStaleAcceptances::new),
    /** A heartbeat reply to an earlier incarnation counts. */
    COUNTS_STALE_HEARTBEAT_REPLIES(5, 7, MessageMutations.CountsStaleHeartbeatReplies::new),
    /** A replication reply to an earlier incarnation counts. */
    COUNTS_STALE_REPLICATION_REPLIES(5, 0, MessageMutations.CountsStaleReplicationReplies::new),
    /** A drain is acknowledged by one controller alone although a majority is available. */
    ACKNOWLEDGES_A_DRAIN_ALONE(5, 218, GossipMutations.AcknowledgesRemovalsAlone::new),
    /** The removals of replicas are lost when all processes restart. */
    LOSES_REMOVALS(5, 3, Scenario.POWER_LOSS, DiskMutations.LosesRemovals::new),
    /** A late heartbeat reverts a drain. */
    REVERTS_A_DRAIN(5, 0, GossipMutations.HeartbeatRevertsRemoval::new),
    /** Routers do not receive a drain. */
    ROUTERS_MISS_DRAINS(5, 0, GossipMutations.RoutersMissRemovals::new),
    /** The fencing token does not rise with the epoch. */
    TOKEN_NOT_RAISED(5, 0, DiskMutations.ReusesToken::new),
    /** A new lease holder does not wait for the previous lease to expire. */
    LEASE_NOT_WAITED_FOR(5, 7, DiskMutations.SkipsLeaseWait::new),

    /** Unsolicited messages confirm that a configuration is the newest. */
    CONFIRMED_UNSOLICITED(1, 0, Scenario.ROUTERS_BEHIND, FreshnessMutations.CountsUnsolicited::new),
    /** A confirmation counts from its arrival. */
    CONFIRMED_FROM_ARRIVAL(1, 0, Scenario.ROUTERS_BEHIND, FreshnessMutations.CountsReplyFromArrival::new),
    /** The age of a confirmation is not passed on. */
    CONFIRMED_WITHOUT_AGE(1, 5, Scenario.ROUTERS_BEHIND, FreshnessMutations.OmitsAge::new),
    /** A follower confirms its configuration by the arrival of heartbeats. */
    CONFIRMED_BY_A_FOLLOWER(1, 384, Scenario.ROUTERS_BEHIND, FreshnessMutations.FollowerCountsHeartbeats::new),

    /** A witness accepts a record after it has promised a higher number. */
    ACCEPTS_AFTER_A_HIGHER_PROMISE(1, 3, EpochMutations.AcceptsAfterHigherPromise::new),
    /** A record counts as chosen while it is only proposed. */
    ANNOUNCES_BEFORE_ACCEPTANCE(3, 0, EpochMutations.AnnouncesBeforeAcceptance::new),
    /** A process that shuts down may exit as soon as the primary knows of the shutdown. */
    PERMITS_SHUTDOWN_AT_ONCE(3, 138, EpochMutations.PermitsShutdownAtOnce::new),
    /** A witness that restarts has forgotten the records that it accepted. */
    FORGETS_ACCEPTED_RECORDS(3, 9, EpochMutations.ForgetsAcceptedRecords::new),
    /** A store that returns is sent an old document under the newest version. */
    INSTALLS_AN_OLD_DOCUMENT(4, 2, EpochMutations.InstallsAnOldDocument::new),
    /** A store that lacks changes counts its own state as the newest one. */
    RELABELS_ANY_STATE(4, 1, EpochMutations.RelabelsAnyState::new);

    private final int safetyPoint;
    private final long knownSeed;
    private final Optional<Scenario> scenario;
    private final Supplier<Mutation> factory;

    Mutant(int safetyPoint, long knownSeed, Supplier<Mutation> factory) {
        this(safetyPoint, knownSeed, Optional.empty(), factory);
    }

    Mutant(int safetyPoint, long knownSeed, Scenario scenario, Supplier<Mutation> factory) {
        this(safetyPoint, knownSeed, Optional.of(scenario), factory);
    }

    Mutant(int safetyPoint, long knownSeed, Optional<Scenario> scenario, Supplier<Mutation> factory) {
        this.safetyPoint = safetyPoint;
        this.knownSeed = knownSeed;
        this.scenario = scenario;
        this.factory = factory;
    }

    /** The number of the point of docs/control-safety.md, 1 to 5, that the mutant violates; 0 for none. */
    public int safetyPoint() {
        return safetyPoint;
    }

    /** A seed that catches the mutant; it may change with the code. */
    public long knownSeed() {
        return knownSeed;
    }

    /** The scenario in which a run of a seed is expected to catch the mutant. */
    public Scenario scenarioOf(long seed) {
        return scenario.orElseGet(() -> ControlPlaneSimulation.scenarioOf(seed));
    }

    Mutation newMutation() {
        return factory.get();
    }
}
