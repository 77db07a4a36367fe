package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;

/**
 * The result of one simulated run.
 *
 * @param seed the seed that determines the run
 * @param cleanLinks whether messages were lost or delayed only by partitions
 * @param violation the invariant that was violated, if any
 * @param acknowledged changes that controllers acknowledged
 * @param rejected requests rejected with 400 or 412
 * @param reads reads that got a response
 * @param removalsAcknowledged removals of replicas that were acknowledged
 * @param confirmations how often a router learned that its configuration was the newest at a later time than any before
 * @param acknowledgementTimesMs for each change, the time until it was acknowledged
 * @param changeLatenciesMs for each change while a partitioned controller was the only fault of the controllers, the
 *     time until it was acknowledged
 * @param repairTimesMs for each repair, the time after a store's return, or a replacement's first start, until the
 *     primary reported as many tolerable losses as required
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
