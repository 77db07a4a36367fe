package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;

/**
 * The result of one simulated run.
 *
 * @param seed the run is a function of it
 * @param cleanLinks whether links lost and delayed nothing but by partitions
 * @param violation the invariant that was violated, if any
 * @param acknowledged changes that controllers acknowledged
 * @param rejected requests rejected with 400 or 412
 * @param reads reads answered
 * @param removalsAcknowledged removals of replicas that were acknowledged
 * @param confirmations how often a router learned that its configuration was the newest at a later time than any before
 * @param acknowledgementTimesMs for each change, how long it took to be acknowledged
 * @param changeLatenciesMs for each change while a partitioned controller was the only fault of the controllers, how
 *     long it took
 * @param repairTimesMs for each repair, how long after a store's return, or a replacement's first start, the primary
 *     reported as many tolerable losses as required
 * @param trace recorded events, if the run was traced
 */
public record SimulationResult(
        long seed,
        boolean cleanLinks,
        Optional<InvariantViolation> violation,
        int acknowledged,
        int rejected,
        int reads,
        int removalsAcknowledged,
        int confirmations,
        List<Double> acknowledgementTimesMs,
        List<Double> changeLatenciesMs,
        List<Double> repairTimesMs,
        List<String> trace) {}
