package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that each fencing token has one lease holder, that tokens rise, and that there is a delay between two lease
 * holders.
 */
final class LeaseChecker {
    private final Map<Long, String> holderByToken = new HashMap<>();
    private String lastHolder = "";
    private long highestToken = -1;
    private double lastUseMs;

    /** A process uses the lease with a token. */
    void onLeaseUsed(String process, long token, double nowMs) {
        String previousHolder = holderByToken.putIfAbsent(token, process);
        require(
                previousHolder == null || previousHolder.equals(process),
                Invariant.ONE_LEASE_HOLDER,
                previousHolder + " and " + process + " both use token " + token);
        require(
                token >= highestToken,
                Invariant.ONE_LEASE_HOLDER,
                process + " uses token " + token + " after " + highestToken);
        boolean hasChanged = !lastHolder.isEmpty() && !lastHolder.equals(process);
        require(
                !hasChanged || nowMs - lastUseMs >= SimulatedSystem.LEASE_MS,
                Invariant.ONE_LEASE_HOLDER,
                process + " takes the lease from " + lastHolder + " after " + (nowMs - lastUseMs) + " ms");
        highestToken = token;
        lastHolder = process;
        lastUseMs = nowMs;
    }
}
