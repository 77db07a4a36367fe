package pinewick.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other stores that a primary knows: members, and observers that may be admitted. Iterates in the order in which
 * they were added, so that simulated runs are reproducible. Control loop only.
 */
final class Followers {
    /** An observer (a store that is not a member) is removed after this long without contact. */
    private static final double OBSERVER_EXPIRY_MS = 3_000;

    private final ReplicationContext context;
    private final Map<String, Follower> byIdentity = new LinkedHashMap<>();

    Followers(ReplicationContext context) {
        this.context = context;
    }

    Collection<Follower> all() {
        return byIdentity.values();
    }

    Optional<Follower> find(String identity) {
        return Optional.ofNullable(byIdentity.get(identity));
    }

    /** The followers with these identities; unknown identities are skipped. */
    List<Follower> withIdentities(Collection<String> identities) {
        List<Follower> found = new ArrayList<>();
        for (String identity : identities) {
            find(identity).ifPresent(found::add);
        }
        return found;
    }

    /** The follower, added as an observer if it is not known yet; empty for this process itself. */
    Optional<Follower> getOrAdd(Member member) {
        if (member.identity().equals(context.durable().identity())) {
            return Optional.empty();
        }
        return Optional.of(
                byIdentity.computeIfAbsent(member.identity(), key -> new Follower(member, context.activeMs())));
    }

    /** Adds the members of a record that are not known yet; members are never removed. */
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

    /**
     * Sequence number of the newest heartbeat that a quorum has confirmed, 0 for none. This process itself counts as
     * confirming each heartbeat that it sent.
     */
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
