package pinewick.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The other stores that a primary knows: members, and those that ask to be taken in. */
final class Followers {
    /** A store that is no member is forgotten after this silence. */
    private static final double OBSERVER_EXPIRY_MS = 3_000;

    private final ReplicationContext context;
    private final Map<String, Follower> byIdentity = new LinkedHashMap<>();

    Followers(ReplicationContext context) {
        this.context = context;
    }

    Collection<Follower> all() {
        return byIdentity.values();
    }

    Follower get(String identity) {
        return byIdentity.get(identity);
    }

    /** Those of some identities, this process left out. */
    List<Follower> withIdentities(Collection<String> identities) {
        List<Follower> found = new ArrayList<>();
        for (String identity : identities) {
            Follower follower = byIdentity.get(identity);
            if (follower != null) {
                found.add(follower);
            }
        }
        return found;
    }

    /** Whoever is heard of is kept, as a guest while it is no member. */
    Follower getOrAdd(Member member) {
        if (member.identity().equals(context.durable().identity())) {
            return null;
        }
        return byIdentity.computeIfAbsent(member.identity(), key -> new Follower(member, context.activeMs()));
    }

    /** Members are always there. */
    void addMembers(EpochRecord record) {
        record.members().forEach(this::getOrAdd);
    }

    void expireSilentObservers(EpochRecord record) {
        double now = context.activeMs();
        byIdentity
                .values()
                .removeIf(follower ->
                        !record.hasMember(follower.identity()) && follower.sinceContactMs(now) > OBSERVER_EXPIRY_MS);
    }

    /** The highest round that a quorum has confirmed, this process counted in. */
    long confirmedHeartbeat(EpochRecord record, long newestHeartbeat) {
        List<Long> heartbeats = new ArrayList<>(List.of(newestHeartbeat));
        byIdentity.values().forEach(follower -> heartbeats.add(follower.confirmedHeartbeat()));
        heartbeats.sort(null);
        for (int index = heartbeats.size() - 1; index >= 0; index--) {
            if (record.hasQuorum(confirmers(heartbeats.get(index)))) {
                return heartbeats.get(index);
            }
        }
        return 0;
    }

    private Set<String> confirmers(long heartbeat) {
        Set<String> identities = new HashSet<>();
        identities.add(context.durable().identity());
        byIdentity.values().stream()
                .filter(follower -> follower.confirmedHeartbeat() >= heartbeat)
                .forEach(follower -> identities.add(follower.identity()));
        return identities;
    }
}
