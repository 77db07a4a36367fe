package pinewick.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The other stores that a primary knows: members, and those that ask to be taken in. */
final class Replicas {
    /** A store that is no member is forgotten after this silence. */
    private static final double GUEST_MS = 3_000;

    private final Context context;
    private final Map<String, Replica> byIdentity = new LinkedHashMap<>();

    Replicas(Context context) {
        this.context = context;
    }

    Collection<Replica> all() {
        return byIdentity.values();
    }

    Replica get(String identity) {
        return byIdentity.get(identity);
    }

    /** Those of some identities, this process left out. */
    List<Replica> among(Collection<String> identities) {
        List<Replica> found = new ArrayList<>();
        for (String identity : identities) {
            Replica replica = byIdentity.get(identity);
            if (replica != null) {
                found.add(replica);
            }
        }
        return found;
    }

    /** Whoever is heard of is kept, as a guest while it is no member. */
    Replica learn(Member member) {
        if (member.identity().equals(context.durable().identity())) {
            return null;
        }
        return byIdentity.computeIfAbsent(member.identity(), key -> new Replica(member, context.activeMs()));
    }

    /** Members are always there. */
    void keepMembers(EpochRecord record) {
        record.members().forEach(this::learn);
    }

    void forgetSilentGuests(EpochRecord record) {
        double now = context.activeMs();
        byIdentity
                .values()
                .removeIf(replica -> !record.hasMember(replica.identity()) && replica.silentMs(now) > GUEST_MS);
    }

    /** The highest round that a quorum has confirmed, this process counted in. */
    long confirmedRound(EpochRecord record, long newest) {
        List<Long> rounds = new ArrayList<>(List.of(newest));
        byIdentity.values().forEach(replica -> rounds.add(replica.confirmedRound()));
        rounds.sort(null);
        for (int index = rounds.size() - 1; index >= 0; index--) {
            if (record.hasQuorum(confirmers(rounds.get(index)))) {
                return rounds.get(index);
            }
        }
        return 0;
    }

    private Set<String> confirmers(long round) {
        Set<String> identities = new HashSet<>();
        identities.add(context.durable().identity());
        byIdentity.values().stream()
                .filter(replica -> replica.confirmedRound() >= round)
                .forEach(replica -> identities.add(replica.identity()));
        return identities;
    }
}
