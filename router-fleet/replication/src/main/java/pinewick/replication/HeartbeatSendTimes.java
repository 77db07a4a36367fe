package pinewick.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/** Send times of the most recent heartbeats by sequence number, in the time of {@link ActiveClock#activeMs}. */
final class HeartbeatSendTimes {
    private static final int MAX_ENTRIES = 64;

    private final Map<Long, Double> sentMsByHeartbeat = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    void record(long heartbeat, double nowMs) {
        sentMsByHeartbeat.put(heartbeat, nowMs);
    }

    /** When a heartbeat was sent; {@link Double#NEGATIVE_INFINITY} for one that is no longer tracked. */
    double sentMs(long heartbeat) {
        return sentMsByHeartbeat.getOrDefault(heartbeat, Double.NEGATIVE_INFINITY);
    }
}
