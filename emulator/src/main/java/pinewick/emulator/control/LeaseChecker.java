package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.HashMap;
import java.util.Map;

/** One holder a fencing token, tokens that rise, and a pause between two holders. */
final class LeaseChecker {
    private final Map<Long, String> holders = new HashMap<>();
    private String holder = "";
    private long highestToken = -1;
    private double heldMs;

    /** A process says that it holds the lease under a token. */
    void holds(String process, long token, double nowMs) {
        String before = holders.putIfAbsent(token, process);
        require(
                before == null || before.equals(process),
                Invariant.ONE_HOLDER,
                before + " and " + process + " share token " + token);
        require(
                token >= highestToken,
                Invariant.ONE_HOLDER,
                process + " holds token " + token + " after " + highestToken);
        boolean turns = !holder.isEmpty() && !holder.equals(process);
        require(
                !turns || nowMs - heldMs >= ControlWorld.LEASE_MS,
                Invariant.ONE_HOLDER,
                process + " follows " + holder + " after " + (nowMs - heldMs) + " ms");
        highestToken = token;
        holder = process;
        heldMs = nowMs;
    }
}
