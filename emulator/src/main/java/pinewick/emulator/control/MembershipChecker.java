package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pinewick.model.Message;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.Member;
import pinewick.replication.ReplicationMessages.Accepted;
import pinewick.replication.ReplicationMessages.RecordChosen;

/** Watches who accepts epoch records: one that stands has a majority of its members and of the members before. */
final class MembershipChecker {
    private final Map<EpochNumber, Set<String>> acceptors = new HashMap<>();
    private final TreeMap<EpochNumber, List<Member>> standing = new TreeMap<>();

    /** A process sends a message. */
    void sent(Message message) {
        if (message instanceof Accepted accepted) {
            acceptors
                    .computeIfAbsent(accepted.number(), number -> new HashSet<>())
                    .add(accepted.identity());
        } else if (message instanceof RecordChosen established) {
            stands(established.record());
        }
    }

    private void stands(EpochRecord record) {
        if (standing.containsKey(record.number())) {
            return;
        }
        Set<String> all = new HashSet<>(acceptors.getOrDefault(record.number(), Set.of()));
        all.add(record.primary());
        Map.Entry<EpochNumber, List<Member>> before = standing.lowerEntry(record.number());
        boolean byOld = before == null || isMajority(before.getValue(), all);
        require(
                byOld && isMajority(record.members(), all),
                Invariant.MEMBERS_BY_MAJORITY,
                "epoch " + record.number().counter() + " of members " + identities(record.members()) + ", before "
                        + (before == null ? "none" : identities(before.getValue())) + ", was accepted by " + all);
        standing.put(record.number(), record.members());
    }

    private static boolean isMajority(List<Member> members, Collection<String> identities) {
        long present = members.stream()
                .filter(member -> identities.contains(member.identity()))
                .count();
        return 2 * present > members.size();
    }

    private static List<String> identities(List<Member> members) {
        return members.stream().map(Member::identity).toList();
    }
}
