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
    private static final double REPLACEABLE_MS = 900;

    private final Context context;

    EpochPlanner(Context context) {
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
            Leadership leadership,
            Replicas replicas) {
        if (!highest.number().equals(leadership.number())) {
            return Optional.empty();
        }
        EpochRecord standing = leadership.record();
        List<Member> members = planMembers(standing, promises, replicas);
        return Optional.of(record(number, standing, members, promises, leadership.keepsLeaving()));
    }

    private EpochRecord record(
            EpochNumber number,
            EpochRecord base,
            List<Member> members,
            Map<String, Promise> promises,
            boolean keepsLeaving) {
        String self = context.durable().identity();
        List<String> inSync = inSync(base, members, promises, keepsLeaving);
        return new EpochRecord(number, self, inSync, members, base.previousMembers());
    }

    /**
     * Whoever promised the number and was in sync, or holds exactly what this process holds. None of them can confirm
     * a change of an earlier epoch any more, and each has every change that was acknowledged. Stores that are about to
     * end are left out only where a primary that has begun finds that they can be done without.
     */
    private List<String> inSync(
            EpochRecord base, List<Member> members, Map<String, Promise> promises, boolean keepsLeaving) {
        String self = context.durable().identity();
        StateTag held = context.durable().state().tag();
        List<String> staying = new ArrayList<>(List.of(self));
        List<String> leaving = new ArrayList<>();
        for (Member member : members) {
            Promise promise = promises.get(member.identity());
            if (promise == null || member.identity().equals(self)) {
                continue;
            }
            if (base.inSync().contains(member.identity()) || promise.tag().equals(held)) {
                (promise.leaving() ? leaving : staying).add(member.identity());
            }
        }
        if (keepsLeaving || staying.size() < context.settings().fewestCopies()) {
            staying.addAll(leaving);
        }
        return staying;
    }

    private List<Member> planMembers(EpochRecord standing, Map<String, Promise> promises, Replicas replicas) {
        List<Member> members = new ArrayList<>(standing.members());
        StateTag held = context.durable().state().tag();
        for (Promise promise : promises.values()) {
            boolean newcomer = !standing.hasMember(promise.self().identity());
            if (newcomer && !promise.leaving() && promise.tag().equals(held)) {
                takeIn(members, promise.self(), replicas);
            }
        }
        return members;
    }

    /** Whether there is a place for a store that is no member. */
    boolean hasPlace(EpochRecord standing, Member newcomer, Replicas replicas) {
        return takeIn(new ArrayList<>(standing.members()), newcomer, replicas);
    }

    private boolean takeIn(List<Member> members, Member newcomer, Replicas replicas) {
        Optional<Member> place = members.stream()
                .filter(member -> member.address().equals(newcomer.address()))
                .findFirst();
        if (place.isEmpty() && members.size() < context.settings().wantedMembers()) {
            return members.add(newcomer);
        }
        if (place.isEmpty()) {
            place = mostSilent(members, replicas);
        }
        place.ifPresent(member -> members.set(members.indexOf(member), newcomer));
        return place.isPresent();
    }

    private Optional<Member> mostSilent(List<Member> members, Replicas replicas) {
        double now = context.activeMs();
        return members.stream()
                .filter(member -> replicas.get(member.identity()) != null)
                .filter(member -> isReplaceable(replicas.get(member.identity()), now))
                .max(Comparator.comparingDouble(
                        member -> replicas.get(member.identity()).silentMs(now)));
    }

    private static boolean isReplaceable(Replica replica, double now) {
        return replica.leaving() || replica.silentMs(now) > REPLACEABLE_MS;
    }

    /** The stores to wait for in a new epoch that the primary should propose now, or empty if it should not. */
    Optional<Set<String>> wantedChange(Leadership leadership, Replicas replicas) {
        Set<String> keep = leadership.needed();
        int present = leadership.record().inSync().size();
        boolean disturbed = 1 + keep.size() < present;
        Set<String> admitted = admissible(leadership, replicas, disturbed);
        int copies = 1 + keep.size() + admitted.size();
        boolean enough = copies >= context.settings().fewestCopies();
        boolean drops = disturbed && enough;
        boolean admits = !admitted.isEmpty() && (enough || copies > present);
        boolean overtaken = !leadership.honoured() || promisedHigher(leadership, replicas);
        if (!drops && !admits && !overtaken) {
            return Optional.empty();
        }
        Set<String> wanted = new HashSet<>(keep);
        wanted.addAll(admitted);
        return Optional.of(wanted);
    }

    /** A change under way is waited for, unless an in-sync store does not confirm it. */
    private Set<String> admissible(Leadership leadership, Replicas replicas, boolean disturbed) {
        Set<String> identities = new HashSet<>();
        boolean targetHeld = context.durable().state().tag().equals(leadership.target());
        if (!targetHeld || (leadership.changePending() && !disturbed)) {
            return identities;
        }
        for (String identity : leadership.caughtUp()) {
            boolean member = leadership.record().hasMember(identity);
            if (member || hasPlace(leadership.record(), replicas.get(identity).member(), replicas)) {
                identities.add(identity);
            }
        }
        return identities;
    }

    /** A store that answers has promised a higher number and will confirm nothing of this epoch. */
    private boolean promisedHigher(Leadership leadership, Replicas replicas) {
        double now = context.activeMs();
        return replicas.all().stream()
                .anyMatch(replica ->
                        replica.promised().counter() > leadership.number().counter()
                                && replica.silentMs(now) <= 2 * Leadership.HEARTBEAT_MS
                                && leadership.record().hasMember(replica.identity()));
    }
}
