package pinewick.replication;

import java.util.List;
import java.util.Set;
import pinewick.model.SocketAddress;

/**
 * Configuration of an epoch, on which the witnesses agree by Paxos: its primary, its in-sync stores and its members.
 *
 * @param number number of the epoch
 * @param primary identity of the primary's store, empty in the founding epoch
 * @param inSync identities of the stores that must confirm each change, the primary included
 * @param members the stores whose majority is a quorum
 * @param previousMembers the members before this epoch. Until the record is known to be chosen, a quorum needs a
 *     majority of these as well (joint consensus)
 */
public record EpochRecord(
        EpochNumber number, String primary, List<String> inSync, List<Member> members, List<Member> previousMembers) {
    /** The accepted record of a store that has accepted none. */
    public static final EpochRecord NONE = new EpochRecord(EpochNumber.NONE, "", List.of(), List.of(), List.of());

    public EpochRecord {
        inSync = List.copyOf(inSync);
        members = List.copyOf(members);
        previousMembers = List.copyOf(previousMembers);
    }

    /**
     * The record from which every founder starts: the seeds are the members and all in sync. A founder's identity is
     * its address.
     */
    public static EpochRecord founding(List<SocketAddress> seeds) {
        List<Member> members = seeds.stream()
                .sorted()
                .distinct()
                .map(seed -> new Member(seed.toString(), seed))
                .toList();
        List<String> identities = members.stream().map(Member::identity).toList();
        return new EpochRecord(EpochNumber.FOUNDING, "", identities, members, members);
    }

    /** Whether these stores are a majority of the members, and of the previous members while those still count. */
    public boolean hasQuorum(Set<String> identities) {
        return isMajority(members, identities) && (hasSingleQuorum() || isMajority(previousMembers, identities));
    }

    /**
     * Whether a majority of the members alone is a quorum, because the previous members are the same or no longer
     * count.
     */
    public boolean hasSingleQuorum() {
        return members.equals(previousMembers);
    }

    /** This record once it is known to be chosen: a majority of the members alone is a quorum from then on. */
    public EpochRecord withoutPreviousMembers() {
        return hasSingleQuorum() ? this : new EpochRecord(number, primary, inSync, members, members);
    }

    /** Whether a store is a member. */
    public boolean hasMember(String identity) {
        return members.stream().anyMatch(member -> member.identity().equals(identity));
    }

    private static boolean isMajority(List<Member> voters, Set<String> identities) {
        long present = voters.stream()
                .filter(voter -> identities.contains(voter.identity()))
                .count();
        return 2 * present > voters.size();
    }
}
