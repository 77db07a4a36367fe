package pinewick.emulator.control;

import static pinewick.emulator.control.InvariantViolation.require;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that a configuration that a process considers the newest one as of some time was the newest acknowledged one
 * at that time. Times are in simulated time.
 */
final class FreshnessChecker {
    /** Tolerance for rounding: the clock of each process has an offset, which costs some digits. */
    private static final double ROUNDING_MS = 0.001;

    private final TreeMap<Long, Double> acknowledgedAtMs = new TreeMap<>();
    private double newestConfirmedAtMs = Double.NEGATIVE_INFINITY;
    private int confirmations;

    /** A controller acknowledges a version: the response is sent now, whether or not it arrives. */
    void onAcknowledged(long version, double nowMs) {
        acknowledgedAtMs.putIfAbsent(version, nowMs);
    }

    /** A process with this version assumes that no higher one was acknowledged before the given time. */
    void onConfirmed(String host, long version, double confirmedAtMs) {
        if (confirmedAtMs > newestConfirmedAtMs) {
            newestConfirmedAtMs = confirmedAtMs;
            confirmations++;
        }
        for (Map.Entry<Long, Double> later :
                acknowledgedAtMs.tailMap(version, false).entrySet()) {
            require(
                    later.getValue() >= confirmedAtMs - ROUNDING_MS,
                    Invariant.CONFIRMED_WAS_NEWEST,
                    host + " considers version " + version + " the newest as of " + confirmedAtMs + ", but version "
                            + later.getKey() + " was acknowledged at " + later.getValue());
        }
    }

    /** How many confirmations were newer than all previous ones. */
    int confirmations() {
        return confirmations;
    }
}
