package pinewick.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pinewick.replication.ReplicationMessages.Promise;

/** Builds the records that a ballot proposes, and tells a primary when it should propose one. */
final class EpochPlanner {
    /** A member that has been silent for longer can be replaced by a store that asks to be taken in. */
    private static final double REPLACEABLE_AFTER_MS = 900;

    private final ReplicationContext context;

    EpochPlanner(ReplicationContext context) {
        this.context = context;
    }

    /** Upon a record that may or may not stand: the members stay, and the proposer must be in sync. */
    Optional<EpochRecord> planElection(EpochNumber number, EpochRecord highest, Map<String, Promise> promises) {
        String self = context.durable().identity();
        if (!highest.inSync().contains(self) || !highest.hasMember(self)) {
            return Optional.empty();
        }
        return Optional.of(record(number, highest, highest.members(), promises, true));
    }

    /** Upon the primary's own record, which stands: members may be replaced too. */
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
        return Optional.of(record(number, current, members, promises, epoch.retainsShuttingDown()));
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
     * Whoever promised the number and was in sync, or holds exactly what this process holds. None of them can confirm
     * a change of an earlier epoch any more, and each has every change that was acknowledged. Stores that are about to
     * end are left out only where a primary that has begun finds that they can be done without.
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

    /** Whether there is a place for a store that is no member. */
    boolean canAdmit(EpochRecord current, Member candidate, Followers followers) {
        return admit(new ArrayList<>(current.members()), candidate, followers);
    }

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
                .filter(member -> followers.get(member.identity()) != null)
                .filter(member -> isReplaceable(followers.get(member.identity()), now))
                .max(Comparator.comparingDouble(
                        member -> followers.get(member.identity()).sinceContactMs(now)));
    }

    private static boolean isReplaceable(Follower follower, double now) {
        return follower.isShuttingDown() || follower.sinceContactMs(now) > REPLACEABLE_AFTER_MS;
    }

    /** The stores to wait for in a new epoch that the primary should propose now, or empty if it should not. */
    Optional<Set<String>> planReconfiguration(PrimaryEpoch epoch, Followers followers) {
        Set<String> required = epoch.requiredFollowers();
        int present = epoch.record().inSync().size();
        boolean hasUnresponsive = 1 + required.size() < present;
        Set<String> admitted = admissible(epoch, followers, hasUnresponsive);
        int stores = 1 + required.size() + admitted.size();
        boolean hasMinInSync = stores >= context.settings().minInSyncStores();
        boolean shrinksInSync = hasUnresponsive && hasMinInSync;
        boolean growsInSync = !admitted.isEmpty() && (hasMinInSync || stores > present);
        boolean isSuperseded = !epoch.isPromiseCurrent() || hasPromisedHigher(epoch, followers);
        if (!shrinksInSync && !growsInSync && !isSuperseded) {
            return Optional.empty();
        }
        Set<String> expectedPromises = new HashSet<>(required);
        expectedPromises.addAll(admitted);
        return Optional.of(expectedPromises);
    }

    /** A change under way is waited for, unless an in-sync store does not confirm it. */
    private Set<String> admissible(PrimaryEpoch epoch, Followers followers, boolean hasUnresponsive) {
        Set<String> identities = new HashSet<>();
        boolean isAtTarget = context.durable().state().version().equals(epoch.targetVersion());
        if (!isAtTarget || (epoch.isChangePending() && !hasUnresponsive)) {
            return identities;
        }
        for (String identity : epoch.caughtUpOutsiders()) {
            boolean member = epoch.record().hasMember(identity);
            if (member || canAdmit(epoch.record(), followers.get(identity).member(), followers)) {
                identities.add(identity);
            }
        }
        return identities;
    }

    /** A store that answers has promised a higher number and will confirm nothing of this epoch. */
    private boolean hasPromisedHigher(PrimaryEpoch epoch, Followers followers) {
        double now = context.activeMs();
        return followers.all().stream()
                .anyMatch(follower ->
                        follower.promised().counter() > epoch.number().counter()
                                && follower.sinceContactMs(now) <= 2 * PrimaryEpoch.HEARTBEAT_INTERVAL_MS
                                && epoch.record().hasMember(follower.identity()));
    }
}
