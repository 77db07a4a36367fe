package pinewick.emulator.control;

import java.util.List;
import java.util.Optional;

/**
 * One simulated run.
 *
 * @param seed everything follows from it
 * @param violation what broke, if anything did
 * @param acknowledged changes that controllers acknowledged
 * @param refused calls refused with 400 or 412
 * @param reads reads answered
 * @param endsAcknowledged announced ends of replicas that were acknowledged
 * @param acknowledgedAfterMs how long operators needed to be acknowledged, each change
 * @param probeAfterMs how long a change took beside a controller that was cut off, the others being well; each probe
 * @param repairedAfterMs how long after a store's return, or a replacement's first start, the primary said that as many
 *     losses are borne as are tolerated
 * @param trace what happened, if the run was traced
 */
public record DayResult(
        long seed,
        Optional<InvariantViolation> violation,
        int acknowledged,
        int refused,
        int reads,
        int endsAcknowledged,
        List<Double> acknowledgedAfterMs,
        List<Double> probeAfterMs,
        List<Double> repairedAfterMs,
        List<String> trace) {}
