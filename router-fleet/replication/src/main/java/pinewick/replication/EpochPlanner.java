package pinewick.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pinewick.replication.ReplicationMessages.Promise;

/**
 * Decides which epoch record to propose, and when a primary should reconfigure its epoch. Members and in-sync stores
 * change only by a new epoch record. Control loop only.
 */
final class EpochPlanner {
    /** A member without contact for longer than this can be replaced by an observer. */
    private static final double REPLACEABLE_AFTER_MS = 900;

    private final ReplicationContext context;

    EpochPlanner(ReplicationContext context) {
        this.context = context;
    }

    /**
     * The record of an election. The record on which it is based may or may not be chosen, so the members stay as they
     * are. Empty unless this process is in sync and a member by that record.
     */
    Optional<EpochRecord> planElection(EpochNumber number, EpochRecord highest, Map<String, Promise> promises) {
        String self = context.durable().identity();
        if (!highest.inSync().contains(self) || !highest.hasMember(self)) {
            return Optional.empty();
        }
        return Optional.of(record(number, highest, highest.members(), promises, true));
    }

    /**
     * The record of a reconfiguration. It is based on the primary's own record, which is chosen, so members may be
     * replaced too. Empty if the promises show a newer record.
     */
    Optional<EpochRecord> planChange(
            EpochNumber number,
            EpochRecord highest,
            Map<String, Promise> promises,
            PrimaryEpoch epoch,
            Followers followers) {
        if (!highest.number().equals(epoch.number())) {
            return Optional.empty();
        }
        EpochRecord current = epoch.record();
        List<Member> members = planMembers(current, promises, followers);
        return Optional.of(record(
                number, current, members, promises, epoch.inSyncEvaluator().retainsShuttingDown()));
    }

    private EpochRecord record(
            EpochNumber number,
            EpochRecord base,
            List<Member> members,
            Map<String, Promise> promises,
            boolean retainsShuttingDown) {
        String self = context.durable().identity();
        List<String> inSync = inSync(base, members, promises, retainsShuttingDown);
        return new EpochRecord(number, self, inSync, members, base.previousMembers());
    }

    /**
     * The new in-sync set: the stores that promised the number and either were in sync or have exactly the state of
     * this process. After its promise a store confirms no change of an earlier epoch, and each of these has every
     * acknowledged change. Stores that are shutting down are left out only if an established primary finds that they
     * are not needed.
     */
    private List<String> inSync(
            EpochRecord base, List<Member> members, Map<String, Promise> promises, boolean retainsShuttingDown) {
        String self = context.durable().identity();
        StateVersion ownVersion = context.durable().state().version();
        List<String> inSync = new ArrayList<>(List.of(self));
        List<String> shuttingDown = new ArrayList<>();
        for (Member member : members) {
            Promise promise = promises.get(member.identity());
            if (promise == null || member.identity().equals(self)) {
                continue;
            }
            if (base.inSync().contains(member.identity())
                    || promise.stateVersion().equals(ownVersion)) {
                (promise.shuttingDown() ? shuttingDown : inSync).add(member.identity());
            }
        }
        if (retainsShuttingDown || inSync.size() < context.settings().minInSyncStores()) {
            inSync.addAll(shuttingDown);
        }
        return inSync;
    }

    /**
     * The members of the new epoch: the current ones, with those observers admitted that promised the number and have
     * exactly the state of this process.
     */
    private List<Member> planMembers(EpochRecord current, Map<String, Promise> promises, Followers followers) {
        List<Member> members = new ArrayList<>(current.members());
        StateVersion ownVersion = context.durable().state().version();
        for (Promise promise : promises.values()) {
            boolean candidate = !current.hasMember(promise.self().identity());
            if (candidate && !promise.shuttingDown() && promise.stateVersion().equals(ownVersion)) {
                admit(members, promise.self(), followers);
            }
        }
        return members;
    }

    /**
     * Whether an observer can become a member: by replacing a member at its address, by filling a vacant place, or by
     * replacing a member that is shutting down or has had no contact for long enough.
     */
    private boolean canAdmit(EpochRecord current, String candidate, Followers followers) {
        return followers
                .find(candidate)
                .filter(follower -> admit(new ArrayList<>(current.members()), follower.member(), followers))
                .isPresent();
    }

    /**
     * Adds the candidate to the members, if there is a place for it ({@link #canAdmit}); returns whether there was one.
     */
    private boolean admit(List<Member> members, Member candidate, Followers followers) {
        Optional<Member> replaced = members.stream()
                .filter(member -> member.address().equals(candidate.address()))
                .findFirst();
        if (replaced.isEmpty() && members.size() < context.settings().targetMemberCount()) {
            return members.add(candidate);
        }
        if (replaced.isEmpty()) {
            replaced = longestWithoutContact(members, followers);
        }
        replaced.ifPresent(member -> members.set(members.indexOf(member), candidate));
        return replaced.isPresent();
    }

    private Optional<Member> longestWithoutContact(List<Member> members, Followers followers) {
        double now = context.activeMs();
        return members.stream()
                .map(member -> followers.find(member.identity()))
                .flatMap(Optional::stream)
                .filter(follower -> isReplaceable(follower, now))
                .max(Comparator.comparingDouble(follower -> follower.sinceContactMs(now)))
                .map(Follower::member);
    }

    private static boolean isReplaceable(Follower follower, double now) {
        return follower.isShuttingDown() || follower.sinceContactMs(now) > REPLACEABLE_AFTER_MS;
    }

    /**
     * Decides whether the primary should propose a new epoch now: to remove unresponsive stores from the in-sync set,
     * to add stores that have caught up, or because a higher number was promised. Returns the stores that are expected
     * to promise it, or empty if none should be proposed.
     */
    Optional<Set<String>> planReconfiguration(PrimaryEpoch epoch, Followers followers) {
        Set<String> required = epoch.inSyncEvaluator().requiredFollowers();
        int inSyncCount = epoch.record().inSync().size();
        boolean hasUnresponsive = 1 + required.size() < inSyncCount;
        Set<String> admitted = admissible(epoch, followers, hasUnresponsive);
        int newInSyncCount = 1 + required.size() + admitted.size();
        boolean hasMinInSync = newInSyncCount >= context.settings().minInSyncStores();
        boolean shrinksInSync = hasUnresponsive && hasMinInSync;
        boolean growsInSync = !admitted.isEmpty() && (hasMinInSync || newInSyncCount > inSyncCount);
        boolean isSuperseded = !epoch.isPromiseCurrent() || hasPromisedHigher(epoch, followers);
        if (!shrinksInSync && !growsInSync && !isSuperseded) {
            return Optional.empty();
        }
        Set<String> expectedPromises = new HashSet<>(required);
        expectedPromises.addAll(admitted);
        return Optional.of(expectedPromises);
    }

    /**
     * The stores that a new epoch could add to the in-sync set. None while a change is in flight, unless an in-sync
     * store is unresponsive and may never confirm it.
     */
    private Set<String> admissible(PrimaryEpoch epoch, Followers followers, boolean hasUnresponsive) {
        Set<String> identities = new HashSet<>();
        boolean isAtTarget = context.durable().state().version().equals(epoch.targetVersion());
        if (!isAtTarget || (epoch.isChangePending() && !hasUnresponsive)) {
            return identities;
        }
        for (String identity : epoch.inSyncEvaluator().inSyncCandidates(epoch.targetVersion())) {
            if (epoch.record().hasMember(identity) || canAdmit(epoch.record(), identity, followers)) {
                identities.add(identity);
            }
        }
        return identities;
    }

    /**
     * Whether a member with recent contact has promised a higher number; it confirms nothing in this epoch any more.
     */
    private boolean hasPromisedHigher(PrimaryEpoch epoch, Followers followers) {
        double now = context.activeMs();
        return followers.all().stream()
                .anyMatch(follower ->
                        follower.promised().counter() > epoch.number().counter()
                                && follower.sinceContactMs(now) <= 2 * PrimaryEpoch.HEARTBEAT_INTERVAL_MS
                                && epoch.record().hasMember(follower.identity()));
    }
}
