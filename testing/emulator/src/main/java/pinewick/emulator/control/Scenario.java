package pinewick.emulator.control;

import java.util.Arrays;
import java.util.List;

/** The combinations of faults that a run can simulate; chosen in turn by seed, or by the caller. */
public enum Scenario {
    /** Single faults at random times. */
    RANDOM,
    /** A controller is partitioned for twenty seconds while changes go on. */
    LONG_PARTITION,
    /** As {@link #RANDOM}, which is to be chosen twice as often as the others. */
    RANDOM_AGAIN,
    /** A disk is lost, and another one as soon as the first loss is repaired. */
    SECOND_LOSS,
    /** The primary fails again and again. */
    PRIMARY_LOSSES,
    /** A planned replacement, and the loss of a disk as soon as it is complete. */
    HANDOVER,
    /** Replies to the primary arrive seconds late. */
    DELAYED_REPLIES,
    /** Members that missed changes return before those that have them. */
    STALE_MEMBERS_FIRST,
    /** A planned replacement or restart, and the loss of a disk at any step of it. */
    LEAVING,
    /** The controllers are cut into two halves, whatever number of losses is tolerated. */
    HALVES,
    /** A minority misses changes, the processes of all others are killed just after the partition has healed. */
    RELIEVED_MINORITY,
    /** A minority misses changes; one of the others loses its disk and the rest its power before that ends. */
    MINORITY_BEHIND,
    /** Everything loses power right after an acknowledgement; the tolerated number of disks is lost. */
    POWER_LOSS,
    /** Routers miss changes and hear late, while the primary is lost, frozen, or cut off from the others. */
    ROUTERS_BEHIND;

    /**
     * Those that are simulated in turn. The others are simulated only where the caller asks for them: {@link
     * #POWER_LOSS} shows a fault that is still open, see docs/control-safety.md; {@link #ROUTERS_BEHIND} belongs to one
     * invariant, {@link Invariant#CONFIRMED_WAS_NEWEST}.
     */
    static List<Scenario> inTurn() {
        return Arrays.stream(values())
                .filter(scenario -> scenario != POWER_LOSS && scenario != ROUTERS_BEHIND)
                .toList();
    }
}
