package pinewick.emulator.control;

import java.util.Arrays;
import java.util.List;

/** The combinations of faults that a run can simulate; selected in turn by seed, or by the caller. */
public enum Scenario {
    /** Single faults at random times. */
    RANDOM,
    /** A controller is partitioned for twenty seconds while changes are submitted. */
    LONG_PARTITION,
    /** Same as {@link #RANDOM}, which is thereby simulated twice as often as each other scenario. */
    RANDOM_AGAIN,
    /** A disk is lost, and another one as soon as the first loss is repaired. */
    SECOND_LOSS,
    /** The primary fails repeatedly. */
    PRIMARY_LOSSES,
    /** A planned replacement, and the loss of a disk as soon as it is complete. */
    HANDOVER,
    /** Replies to the primary arrive seconds late. */
    DELAYED_REPLIES,
    /** Members that missed changes return before those that have them. */
    STALE_MEMBERS_FIRST,
    /** A planned replacement or restart, and the loss of a disk at any of its steps. */
    LEAVING,
    /** The controllers are partitioned into two groups, regardless of the number of tolerated losses. */
    HALVES,
    /** A minority misses changes; the processes of all others are killed right after the partition has healed. */
    RELIEVED_MINORITY,
    /** A minority misses changes; before that ends, some of the others lose their disks and the rest lose power. */
    MINORITY_BEHIND,
    /** All machines lose power right after an acknowledgement; the tolerated number of disks is lost. */
    POWER_LOSS,
    /** Routers miss changes and receive messages late, while the primary is lost, frozen or partitioned. */
    ROUTERS_BEHIND;

    /**
     * The scenarios that are simulated in turn. {@link #ROUTERS_BEHIND} is simulated only on request, because it tests
     * one invariant, {@link Invariant#CONFIRMED_WAS_NEWEST}.
     */
    static List<Scenario> inTurn() {
        return Arrays.stream(values())
                .filter(scenario -> scenario != ROUTERS_BEHIND)
                .toList();
    }
}
