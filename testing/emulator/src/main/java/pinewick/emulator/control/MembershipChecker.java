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

/** Checks that each chosen epoch record was accepted by a majority of its members and of the previous members. */
final class MembershipChecker {
    private final Map<EpochNumber, Set<String>> acceptors = new HashMap<>();
    private final TreeMap<EpochNumber, List<Member>> chosen = new TreeMap<>();

    /** A process sends a message. */
    void onSent(Message message) {
        if (message instanceof Accepted accepted) {
            acceptors
                    .computeIfAbsent(accepted.number(), number -> new HashSet<>())
                    .add(accepted.identity());
        } else if (message instanceof RecordChosen chosenMessage) {
            onChosen(chosenMessage.record());
        }
    }

    private void onChosen(EpochRecord record) {
        if (chosen.containsKey(record.number())) {
            return;
        }
        Set<String> accepting = new HashSet<>(acceptors.getOrDefault(record.number(), Set.of()));
        accepting.add(record.primary());
        Map.Entry<EpochNumber, List<Member>> previous = chosen.lowerEntry(record.number());
        boolean byPreviousMembers = previous == null || isMajority(previous.getValue(), accepting);
        require(
                byPreviousMembers && isMajority(record.members(), accepting),
                Invariant.MEMBERS_BY_MAJORITY,
                "epoch " + record.number().counter() + " of members " + identities(record.members())
                        + ", previous members " + (previous == null ? "none" : identities(previous.getValue()))
                        + ", was accepted by " + accepting);
        chosen.put(record.number(), record.members());
    }

    private static boolean isMajority(List<Member> members, Collection<String> identities) {
        long matching = members.stream()
                .filter(member -> identities.contains(member.identity()))
                .count();
        return 2 * matching > members.size();
    }

    private static List<String> identities(List<Member> members) {
        return members.stream().map(Member::identity).toList();
    }
}
