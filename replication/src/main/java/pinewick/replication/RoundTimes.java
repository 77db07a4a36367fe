package pinewick.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/** When the last heartbeats were sent, {@link ActiveClock#activeMs}. */
final class RoundTimes {
    private static final int MOST_KEPT = 64;

    private final Map<Long, Double> sentMs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
            return size() > MOST_KEPT;
        }
    };

    void note(long round, double nowMs) {
        sentMs.put(round, nowMs);
    }

    /** When a round was sent; long ago for one that is not known any more. */
    double sentMs(long round) {
        return sentMs.getOrDefault(round, Double.NEGATIVE_INFINITY);
    }
}
